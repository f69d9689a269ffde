package org.snipewind.coordination.admission;

/**
 * The queue of a target that a request may join.
 *
 * @param allowedMillis time within which the target should answer
 * @param lengthFactor factor by which the queue may be longer than for the least urgent request
 */
public record QueueAllowance(double allowedMillis, double lengthFactor) {

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

    private static final double MAX_FACTOR = 1.5;

    /**
     * Factor for a returning caller whose response will be late, so that it joins a queue only where new requests have
     * room as well. With a longer queue, such callers displace new ones in a burst, which are then late themselves.
     */
    private static final double LATE_FACTOR = 0.7;

    /**
     * Factor for a request that yields to more urgent ones: they find a queue that is short enough for them, also if
     * their latency objective is much shorter.
     */
    private static final double YIELDING_FACTOR = 0.3;

    /** Part of the objective of the more urgent requests that those which yield may take up at a target. */
    private static final double YIELDING_OBJECTIVE_FRACTION = 0.5;

    /**
     * Determines the queue that a request may join.
     *
     * @param urgencyRank number of less urgent priorities that requests to the pool can have
     * @param objectiveMillis latency objective of the route
     * @param elapsedMillis time since the request arrived at this instance
     * @param remainingMillis time until the deadline
     * @return the allowance
     */
    public static QueueAllowance of(
            int urgencyRank, double objectiveMillis, double elapsedMillis, double remainingMillis) {
        double factor = Math.min(MAX_FACTOR, Math.pow(URGENCY_FACTOR, urgencyRank));
        double allowedMillis = objectiveMillis * OBJECTIVE_FRACTION_AT_TARGET * factor - elapsedMillis;
        return new QueueAllowance(Math.min(allowedMillis, remainingMillis), factor);
    }

    /** Restricts the allowance of a returning caller whose response will be late. */
    QueueAllowance late() {
        return new QueueAllowance(allowedMillis * LATE_FACTOR, lengthFactor * LATE_FACTOR);
    }

    /**
     * Restricts the allowance of a request that yields to more urgent ones.
     *
     * @param urgentObjectiveMillis shortest latency objective of the more urgent requests that lack room
     * @return the allowance
     */
    QueueAllowance yielding(double urgentObjectiveMillis) {
        return new QueueAllowance(
                Math.min(allowedMillis, urgentObjectiveMillis * YIELDING_OBJECTIVE_FRACTION),
                lengthFactor * YIELDING_FACTOR);
    }
}
