package org.snipewind.coordination.ownership;

/** What the supervisor of a target reports about it. */
public enum TargetHealth {
    /** The target acknowledges its grants. */
    LIVE,
    /** The target misses acknowledgements, but its grant may still be in force. */
    SUSPECTED,
    /** The target's grant has certainly ended. */
    LOST,
    /** The target still serves and is to be emptied. */
    LEAVING
}
