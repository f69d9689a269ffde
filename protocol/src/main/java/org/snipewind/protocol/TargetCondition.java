package org.snipewind.protocol;

/** Condition of a target as its supervisor knows it. */
public enum TargetCondition {
    /** The target acknowledges its grant. */
    LIVE,
    /** The target's last grant has certainly ended without a new acknowledgement. */
    LOST,
    /** The target does not answer, but its last grant may still be in force. */
    SUSPECTED,
    /** The target says that it is leaving. */
    DRAINING
}
