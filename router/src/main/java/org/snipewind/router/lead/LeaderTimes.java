package org.snipewind.router.lead;

/** Timing constants that guarantee that a key never has two holders, in milliseconds. */
public final class LeaderTimes {

    /** Lifetime of the leader's lease, long enough that it does not expire during a short outage of the store. */
    public static final long LEASE_LIFETIME_MILLIS = 4_000;

    /** The leader ends its term this long before its lease can expire, since timers may fire late. */
    public static final long LEASE_SAFETY_MARGIN_MILLIS = 300;

    /** Interval between renewals of the lease. */
    public static final long LEASE_RENEWAL_INTERVAL_MILLIS = 800;

    /** Lifetime of a grant of keys to a target; the keys of a lost target are not served for up to this time. */
    public static final long GRANT_LIFETIME_MILLIS = 3_000;

    /** Interval between renewals of a grant, short enough that several fall into its lifetime. */
    public static final long GRANT_RENEWAL_INTERVAL_MILLIS = 600;

    /** Longest wait for the response to an ownership request. */
    public static final long OWNERSHIP_REQUEST_TIMEOUT_MILLIS = 500;

    /** Fraction by which the clock of a target, which measures the lifetime of its grants, may run slow. */
    private static final double MAX_CLOCK_DRIFT = 0.02;

    private static final long EXPIRY_SLACK_MILLIS = 60;

    private LeaderTimes() {}

    /**
     * Returns the longest time from the arrival of a grant at a target until the grant has expired there.
     *
     * @return milliseconds by the leader's clock
     */
    public static long maxGrantLifetimeMillis() {
        return (long) (GRANT_LIFETIME_MILLIS * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_SLACK_MILLIS;
    }

    /**
     * Returns the longest time from a restoration of the store until no right of a leader of which it has lost all
     * traces is in force: its lease may have been renewed just before, and a grant sent at the end of that lease.
     *
     * @return milliseconds
     */
    public static long earlierEraRightsMillis() {
        return LEASE_LIFETIME_MILLIS + OWNERSHIP_REQUEST_TIMEOUT_MILLIS + maxGrantLifetimeMillis();
    }
}
