package org.snipewind.coordination.admission;

/**
 * What admission knows of a request.
 *
 * @param route name of its route
 * @param urgencyRank number of less urgent priorities that requests to the pool can have
 * @param objectiveMillis latency objective of the route
 * @param elapsedBeforeMillis time that the caller has used up before it sent the request again, 0 for a new request
 * @param arrivedMillis time at which the request arrived at this instance
 * @param deadlineMillis time of the deadline
 */
public record AdmissionRequest(
        String route,
        int urgencyRank,
        double objectiveMillis,
        double elapsedBeforeMillis,
        long arrivedMillis,
        long deadlineMillis) {

    /** Fraction of the latency objective for which a request may wait for a place. */
    private static final double MAX_WAIT_FRACTION = 1.0 / 8;

    /** Allowance for the spread of the service time, as a multiple of the expected one. */
    static final double SERVICE_SPREAD = 1.5;

    /**
     * Returns whether the caller was refused before.
     *
     * @return false for a new request
     */
    public boolean isReturning() {
        return elapsedBeforeMillis > 0;
    }

    /**
     * Returns the time until the latency objective, which is counted from the first attempt of the caller.
     *
     * @param nowMillis current time
     * @return milliseconds, negative if the objective has passed
     */
    public double objectiveRemainingMillis(long nowMillis) {
        return objectiveMillis - elapsedBeforeMillis - (nowMillis - arrivedMillis);
    }

    /**
     * Returns the time until which the request may wait for a place. A request that can't meet its objective any more
     * may wait as long, as a late response still has value, but not so long that it would miss its deadline.
     *
     * @param fromMillis time from which it is held: its arrival, or the time of a target's rejection
     * @param expectedMillis expected time of a target for the request
     * @return time at which the wait ends
     */
    public long waitUntilMillis(long fromMillis, double expectedMillis) {
        double longest = fromMillis + objectiveMillis * MAX_WAIT_FRACTION;
        double latestStart = fromMillis + objectiveRemainingMillis(fromMillis) - expectedMillis;
        double latestUseful = latestStart > fromMillis ? latestStart : deadlineMillis - expectedMillis;
        return (long) Math.min(longest, latestUseful);
    }

    /**
     * Returns the order of the request among those that wait.
     *
     * @param rank its urgency rank, raised if its route is starved
     * @param nowMillis current time
     * @param expectedMillis expected time of a target for the request
     * @return the order
     */
    RequestOrder order(int rank, long nowMillis, double expectedMillis) {
        long latestStartMillis = (long) (arrivedMillis + objectiveMillis - elapsedBeforeMillis - expectedMillis);
        return new RequestOrder(rank, standing(nowMillis, expectedMillis), latestStartMillis);
    }

    /**
     * Returns the standing of the caller among those of the same urgency.
     *
     * @param nowMillis current time
     * @param expectedMillis expected time of a target for the request
     * @return the standing
     */
    CallerStanding standing(long nowMillis, double expectedMillis) {
        if (!isReturning()) {
            return CallerStanding.NEW;
        }
        boolean late = objectiveRemainingMillis(nowMillis) <= SERVICE_SPREAD * expectedMillis;
        return late ? CallerStanding.LATE : CallerStanding.RETURNING;
    }
}
