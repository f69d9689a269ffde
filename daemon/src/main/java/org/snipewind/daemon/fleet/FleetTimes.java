package org.snipewind.daemon.fleet;

/** Times of the control loops in milliseconds. */
public final class FleetTimes {

    /** Time between two heartbeats. */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 200;
    /** Length of a member lease; more than four heartbeats, so that three lost in a row do not end it. */
    public static final long LEASE_LIFETIME_MILLIS = 900;
    /** Allowance for the granularity and drift of two clocks over one lease or grant. */
    public static final long CLOCK_ERROR_MILLIS = 50;
    /** Silence after which a witness confirms that a lease has ended. */
    public static final long WITNESS_EXPIRY_MILLIS = LEASE_LIFETIME_MILLIS + CLOCK_ERROR_MILLIS;
    /** Length of a target's grant. */
    public static final long GRANT_LIFETIME_MILLIS = 1_000;
    /** Time between two renewals of a grant. */
    public static final long GRANT_RENEWAL_INTERVAL_MILLIS = 250;
    /** Age of the newest contact with the store beyond which a configuration may be stale. */
    public static final long MAX_STORE_CONTACT_AGE_MILLIS = 10_000;
    /** Mean time between two reads of the store as a backstop for lost pushes. */
    public static final long FALLBACK_READ_INTERVAL_MILLIS = 10_000;
    /** Time between two reports about a target to the pool coordinator. */
    public static final long REPORT_INTERVAL_MILLIS = 200;

    private FleetTimes() {}
}
