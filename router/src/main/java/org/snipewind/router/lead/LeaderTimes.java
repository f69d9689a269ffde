package org.snipewind.router.lead;

/** The times on which sole ownership rests, in milliseconds. */
public final class LeaderTimes {

    /** Lifetime of the leader's lease; short outages of the store must not end it. */
    public static final long LEASE_MILLIS = 4_000;

    /** The leader stops this long before its lease can end, for timers that fire late. */
    public static final long LEASE_MARGIN_MILLIS = 300;

    /** Time between renewals of the lease. */
    public static final long LEASE_RENEWAL_INTERVAL_MILLIS = 800;

    /** Time for which a target holds its keys; a lost target's keys are unserved for so long. */
    public static final long HOLD_MILLIS = 3_000;

    /** Time between renewals of a grant, so that several fall into a hold. */
    public static final long GRANT_RENEWAL_INTERVAL_MILLIS = 600;

    /** Longest wait for the answer to an order. */
    public static final long OWNERSHIP_REQUEST_TIMEOUT_MILLIS = 500;

    /** A target's clock that measures its hold may run slow by this part. */
    private static final double CLOCK_DRIFT = 0.02;

    private static final long HOLD_SLACK_MILLIS = 60;

    private LeaderTimes() {}

    /**
     * Gives the longest time from the arrival of a grant to the end of its hold.
     *
     * @return milliseconds by the leader's clock
     */
    public static long longestHoldMillis() {
        return (long) (HOLD_MILLIS * (1 + CLOCK_DRIFT)) + HOLD_SLACK_MILLIS;
    }
}
