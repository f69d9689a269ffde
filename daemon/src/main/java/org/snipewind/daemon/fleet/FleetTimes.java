package org.snipewind.daemon.fleet;

/** Intervals, lifetimes and time limits of the control loops, in milliseconds. */
public final class FleetTimes {

    /** Interval between heartbeats. */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 200;
    /**
     * Lifetime of a member lease; more than four heartbeat intervals, so that it does not expire when three heartbeats
     * in a row are lost.
     */
    public static final long LEASE_LIFETIME_MILLIS = 900;
    /** Bound of the granularity and drift of two clocks over the lifetime of a lease or grant. */
    public static final long CLOCK_ERROR_MILLIS = 50;
    /** Time without a heartbeat after which a witness confirms that a lease has expired. */
    public static final long WITNESS_EXPIRY_MILLIS = LEASE_LIFETIME_MILLIS + CLOCK_ERROR_MILLIS;
    /** Lifetime of a target's grant. */
    public static final long GRANT_LIFETIME_MILLIS = 1_000;
    /** Interval between renewals of a grant. */
    public static final long GRANT_RENEWAL_INTERVAL_MILLIS = 250;
    /** Maximum age of the most recent contact with the store; beyond it the configuration counts as stale. */
    public static final long MAX_STORE_CONTACT_AGE_MILLIS = 10_000;
    /** Mean interval between reads of the store that make up for lost pushes of records. */
    public static final long FALLBACK_READ_INTERVAL_MILLIS = 10_000;
    /** Interval between reports about a target to the pool coordinator. */
    public static final long REPORT_INTERVAL_MILLIS = 200;

    private FleetTimes() {}
}
