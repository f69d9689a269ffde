package org.snipewind.coordination.rollout;

/** Phase of a roll-out. */
public enum RolloutPhase {
    /** A small share of the requests goes to the new version. */
    CANARY,
    /** A growing share of the requests goes to the new version. */
    RAMP,
    /** All requests go to the new version, and requests may still run at the old one. */
    FULL,
    /** The old version is no longer used. */
    COMPLETED,
    /** The new version is no longer used. */
    ROLLED_BACK;

    /**
     * Returns whether the roll-out goes on.
     *
     * @return true as long as the version is neither completed nor rolled back
     */
    public boolean isInProgress() {
        return this == CANARY || this == RAMP || this == FULL;
    }
}
