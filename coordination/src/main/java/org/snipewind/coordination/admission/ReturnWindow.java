package org.snipewind.coordination.admission;

/**
 * The times at which a refused caller can usefully return, as delays from now.
 *
 * @param earliestMillis least time after which a place can be free
 * @param preferredMillis latest return with which the response still meets the latency objective, or the same as
 *     {@code latestMillis} if none does
 * @param latestMillis longest time that the caller would wait and after which it can still be served
 */
public record ReturnWindow(double earliestMillis, double preferredMillis, double latestMillis) {

    /** Longest delay that callers obey, as a fraction of the time that they have left. */
    private static final double MAX_FRACTION_OF_REMAINING = 1.0 / 3;

    /**
     * Part of the window that is not used at its beginning. Callers have few retries, and the estimate of the earliest
     * time assumes that no other request takes the place.
     */
    private static final double UNUSED_FRACTION = 0.5;

    /**
     * Limits the delay after which a caller should return.
     *
     * @param delayMillis delay
     * @param remainingMillis time until the caller's deadline
     * @return the delay, at most a third of the remaining time
     */
    public static long limit(long delayMillis, long remainingMillis) {
        return Math.min(delayMillis, (long) (Math.max(0, remainingMillis) * MAX_FRACTION_OF_REMAINING));
    }

    /**
     * Determines the window of a request.
     *
     * @param untilRoomMillis least time after which a place can be free, 0 if that is not known
     * @param remainingMillis time until the caller's deadline
     * @param objectiveRemainingMillis time until the latency objective, negative if it has passed
     * @param expectedMillis expected time of a target for the request
     * @return the window, in which no time is later than a third of the remaining time
     */
    public static ReturnWindow of(
            double untilRoomMillis, double remainingMillis, double objectiveRemainingMillis, double expectedMillis) {
        double third = Math.max(0, remainingMillis * MAX_FRACTION_OF_REMAINING);
        double fitting = remainingMillis - expectedMillis;
        // If the deadline can't be met in any case, the caller may still be served faster than expected.
        double latest = fitting > 0 ? Math.min(third, fitting) : third;
        double inObjective =
                Math.min(latest, objectiveRemainingMillis - AdmissionRequest.SERVICE_SPREAD * expectedMillis);
        double preferred = inObjective > untilRoomMillis ? inObjective : latest;
        return new ReturnWindow(Math.max(untilRoomMillis, preferred * UNUSED_FRACTION), preferred, latest);
    }
}
