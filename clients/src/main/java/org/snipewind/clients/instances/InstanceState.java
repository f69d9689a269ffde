package org.snipewind.clients.instances;

/** State of an instance in the platform's list. */
public enum InstanceState {
    /** The instance is running, as far as the platform knows. */
    LIVE,
    /** The platform is about to remove the instance. */
    LEAVING
}
