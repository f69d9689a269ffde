package org.snipewind.protocol;

/** Condition of a target as its supervisor knows it. */
public enum TargetCondition {
    /** The target acknowledges its grant. */
    LIVE,
    /** The target's last grant has expired for certain, and no newer one was acknowledged. */
    LOST,
    /** The target does not respond, but its last grant may still be valid. */
    SUSPECTED,
    /** The target reports that it is leaving. */
    DRAINING
}
