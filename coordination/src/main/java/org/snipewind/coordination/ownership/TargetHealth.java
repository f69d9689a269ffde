package org.snipewind.coordination.ownership;

/** The health of a target as its supervisor reports it. */
public enum TargetHealth {
    /** The target acknowledges its grants. */
    LIVE,
    /** The target has not acknowledged recently, but its grant may still be in force. */
    SUSPECTED,
    /** The target's grant has expired for certain. */
    LOST,
    /** The target still serves, but all its slices are to be moved to other targets. */
    LEAVING
}
