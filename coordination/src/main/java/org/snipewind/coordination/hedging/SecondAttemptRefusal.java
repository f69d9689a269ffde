package org.snipewind.coordination.hedging;

/** The reason why a request that has waited long enough is not sent to a second target. */
public enum SecondAttemptRefusal {
    /** Most of the pool's targets are loaded or slow, so that further requests would make it worse. */
    NO_CAPACITY("no-capacity"),
    /** No other target of the pool is free and responds at its usual speed. */
    NO_TARGET("no-target"),
    /** The second target is not expected to respond in time. */
    NO_TIME("no-time"),
    /** The share of second attempts is used up. */
    SHARE("share"),
    /** The retry budget of the pool is used up. */
    RETRY_BUDGET("retry-budget");

    private final String wireName;

    SecondAttemptRefusal(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name of the reason in metrics.
     *
     * @return words joined by hyphens
     */
    public String wireName() {
        return wireName;
    }
}
