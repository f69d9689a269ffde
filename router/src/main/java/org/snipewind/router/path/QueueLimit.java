package org.snipewind.router.path;

import org.snipewind.coordination.routing.Route;

/**
 * The queue of a target that a request may join.
 *
 * @param allowedMillis time within which the target should answer
 * @param lengthFactor factor by which the queue may be longer than for the least urgent request
 */
record QueueLimit(double allowedMillis, double lengthFactor) {

    /**
     * Fraction of the latency objective that a request may expect to take at a target, waiting included. The rest is
     * for the spread of the service time and for load that this instance does not know of.
     */
    private static final double OBJECTIVE_FRACTION_AT_TARGET = 0.8;

    /**
     * Factor by which the allowed queue is longer for each less urgent priority, so that the last places in a queue go
     * to the most urgent requests.
     */
    private static final double URGENCY_FACTOR = 1.2;

    private static final double MAX_URGENCY_FACTOR = 1.5;

    /**
     * Returns the limit for a request.
     *
     * @param route route of the request
     * @param urgencyRank number of less urgent priorities that requests to the pool can have
     * @param elapsedMillis time since the request arrived
     * @param remainingMillis time until its deadline
     */
    static QueueLimit of(Route route, int urgencyRank, long elapsedMillis, long remainingMillis) {
        double lengthFactor = Math.min(MAX_URGENCY_FACTOR, Math.pow(URGENCY_FACTOR, urgencyRank));
        double allowedMillis =
                route.latencyObjectiveMillis() * OBJECTIVE_FRACTION_AT_TARGET * lengthFactor - elapsedMillis;
        return new QueueLimit(Math.min(allowedMillis, remainingMillis), lengthFactor);
    }
}
