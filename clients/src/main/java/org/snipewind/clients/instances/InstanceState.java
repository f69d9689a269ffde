package org.snipewind.clients.instances;

/** State of an instance in the platform's list. */
public enum InstanceState {
    /** The platform believes that the instance runs. */
    LIVE,
    /** The platform is about to take the instance away. */
    LEAVING
}
