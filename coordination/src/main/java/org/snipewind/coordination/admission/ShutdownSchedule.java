package org.snipewind.coordination.admission;

/**
 * The times of a graceful shutdown. Callers may go on sending requests until the process has ended, so a request that
 * arrives late starts only if its whole allowed time ends before the process does, and is refused as not run otherwise.
 */
public final class ShutdownSchedule {

    /**
     * Longest time from the termination signal for which all requests are served. Load balancers have noticed the
     * shutdown by then.
     */
    private static final long MAX_FULL_SERVICE_MILLIS = 3_000;

    /** Fraction of the grace period for which all requests are served if the grace period is short. */
    private static final double FULL_SERVICE_FRACTION = 0.5;

    /** Time between the end of the process and the end of the grace period, at which the platform kills it. */
    private static final long EXIT_MARGIN_MILLIS = 500;

    /** Time before the end of the process in which no new connection is accepted; open ones are still answered. */
    private static final long LISTENER_CLOSE_MARGIN_MILLIS = 500;

    /** Time before the end of the process for writing the last responses. */
    private static final long RESPONSE_MARGIN_MILLIS = 200;

    private final long fullServiceEndMillis;
    private final long endMillis;

    /**
     * Creates the schedule of a shutdown that begins now.
     *
     * @param nowMillis time of the termination signal
     * @param graceMillis time from the signal until the platform kills the process
     */
    public ShutdownSchedule(long nowMillis, long graceMillis) {
        fullServiceEndMillis =
                nowMillis + Math.min(MAX_FULL_SERVICE_MILLIS, (long) (graceMillis * FULL_SERVICE_FRACTION));
        endMillis = nowMillis + Math.max(0, graceMillis - EXIT_MARGIN_MILLIS);
    }

    /**
     * Returns whether a request may start.
     *
     * @param nowMillis current time
     * @param allowedMillis longest time that the request may take
     * @return false if the process may end before the request does
     */
    public boolean mayStart(long nowMillis, long allowedMillis) {
        return nowMillis < fullServiceEndMillis || allowedMillis <= requestEndMillis() - nowMillis;
    }

    /**
     * Returns the time from which no new connection is accepted.
     *
     * @return milliseconds of the clock that the schedule was created with
     */
    public long listenerCloseMillis() {
        return endMillis - LISTENER_CLOSE_MARGIN_MILLIS;
    }

    /**
     * Returns the time at which requests in progress are answered with what is known of them.
     *
     * @return milliseconds of the clock that the schedule was created with
     */
    public long requestEndMillis() {
        return endMillis - RESPONSE_MARGIN_MILLIS;
    }

    /**
     * Returns the time at which the process ends at the latest.
     *
     * @return milliseconds of the clock that the schedule was created with
     */
    public long endMillis() {
        return endMillis;
    }
}
