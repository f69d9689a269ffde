package org.snipewind.coordination.admission;

/**
 * The time that callers of a route usually grant, from which returning callers are recognised: part of their time has
 * passed. Not thread-safe.
 */
final class UsualDeadline {

    /** A request with less than this fraction of the usual time is from a returning caller. */
    private static final double RETURNING_FRACTION = 0.93;

    /** Weight of a shorter time, so that the usual time also falls if callers grant less from now on. */
    private static final double FALL_WEIGHT = 0.01;

    /** Weight of the newest request in the fraction of requests with the usual time. */
    private static final double FRACTION_WEIGHT = 0.05;

    /**
     * Least fraction of requests with the usual time for which returning callers can be recognised. Callers return at
     * most once for each new request, so that at least half of the requests are new unless deadlines vary anyway.
     */
    private static final double LEAST_USUAL_FRACTION = 0.4;

    private double usualMillis;
    private double usualFraction = 0.5;

    /**
     * Records the time that a request has left.
     *
     * @param remainingMillis time that the caller grants
     * @return time that the caller has used up before, 0 for a new request
     */
    double elapsedBefore(double remainingMillis) {
        usualMillis = remainingMillis >= usualMillis
                ? remainingMillis
                : usualMillis + FALL_WEIGHT * (remainingMillis - usualMillis);
        boolean less = remainingMillis < usualMillis * RETURNING_FRACTION;
        usualFraction += FRACTION_WEIGHT * ((less ? 0 : 1) - usualFraction);
        return less && usualFraction >= LEAST_USUAL_FRACTION ? usualMillis - remainingMillis : 0;
    }
}
