package org.snipewind.coordination.target;

import java.util.function.DoubleSupplier;

/**
 * Decides which requests of a route to a pool may leave the data centre of an instance, from the response times that
 * are expected of the targets there. Not thread-safe.
 *
 * <p>Requests begin to leave when the smoothed expected time reaches {@link #LEAVE_FRACTION} of the latency objective.
 * From then on, the share that leaves rises in proportion to the expected time, so that only the excess of the load
 * leaves and not all of it at once. It ends when the smoothed time is down to {@link #RETURN_FRACTION}.
 */
public final class SpilloverPolicy {

    /**
     * Fraction of the remaining latency objective above which a response counts as late. A response that crosses
     * between data centres can cost 0.4 of the value of its request and a late response 0.7, so leaving pays only if
     * most responses would be late otherwise.
     */
    static final double LEAVE_FRACTION = 0.8;

    /** Fraction of the remaining latency objective at which requests no longer leave. */
    static final double RETURN_FRACTION = 0.5;

    /**
     * Largest expected time elsewhere, as a fraction of the local one. Estimates for targets to which an instance sends
     * little are low, since it does not know their load.
     */
    private static final double MAX_REMOTE_FRACTION = 0.7;

    /** Expected time that counts, as a fraction of the objective, while no target of the data centre has room. */
    private static final double FULL_FRACTION = 1;

    /** Time constant of the smoothed expected time; slow moments of targets last about 400 ms. */
    private static final double SMOOTHING_MILLIS = 1_000;

    private final DoubleSupplier random;
    private double smoothedFraction;
    private long lastSampleMillis = Long.MIN_VALUE / 2;
    private boolean spilling;

    /**
     * Creates a policy under which requests stay.
     *
     * @param random source of uniformly distributed random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public SpilloverPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Copies the policy with its present state.
     *
     * @return a policy that decides the same and changes independently
     */
    SpilloverPolicy copy() {
        SpilloverPolicy copy = new SpilloverPolicy(random);
        copy.smoothedFraction = smoothedFraction;
        copy.lastSampleMillis = lastSampleMillis;
        copy.spilling = spilling;
        return copy;
    }

    /**
     * Returns whether a request should leave if a target elsewhere is worth it.
     *
     * @param localMillis shortest expected response time of the targets in the data centre that have room
     * @param request the request
     * @param nowMillis current time
     * @return false if the request stays
     */
    public boolean mayLeave(double localMillis, SpilloverRequest request, long nowMillis) {
        double fraction = localMillis / Math.max(1, request.objectiveMillis());
        if (!request.repeated()) {
            // A repeated request has less time left, which says nothing about the load.
            addSample(fraction, nowMillis);
        }
        if (request.largeBody()) {
            return localMillis > request.deadlineMillis();
        }
        if (fraction > LEAVE_FRACTION) {
            return true;
        }
        double leavingShare = (fraction - RETURN_FRACTION) / (LEAVE_FRACTION - RETURN_FRACTION);
        return (spilling || request.repeated()) && random.getAsDouble() < leavingShare;
    }

    /**
     * Returns whether a request that may leave gains by it.
     *
     * @param localMillis shortest expected response time of the targets in the data centre that have room
     * @param remoteMillis shortest expected response time of those elsewhere
     * @param request the request
     * @return true if the response is expected in time only elsewhere
     */
    public boolean isRemoteWorthwhile(double localMillis, double remoteMillis, SpilloverRequest request) {
        boolean meetsDeadlineOnlyThere =
                localMillis > request.deadlineMillis() && remoteMillis <= request.deadlineMillis();
        if (request.largeBody()) {
            return meetsDeadlineOnlyThere;
        }
        boolean inTimeThere = remoteMillis <= LEAVE_FRACTION * request.objectiveMillis();
        return meetsDeadlineOnlyThere || inTimeThere && remoteMillis <= MAX_REMOTE_FRACTION * localMillis;
    }

    /**
     * Records that no target of the data centre has room for a request.
     *
     * @param nowMillis current time
     */
    public void recordLocalFull(long nowMillis) {
        addSample(FULL_FRACTION, nowMillis);
    }

    /**
     * Returns whether a part of the requests leaves because of the load.
     *
     * @return true from the time at which the load became too high until it is clearly lower
     */
    public boolean isSpilling() {
        return spilling;
    }

    private void addSample(double fraction, long nowMillis) {
        double weight = 1 - Math.exp(-Math.max(1, nowMillis - lastSampleMillis) / SMOOTHING_MILLIS);
        smoothedFraction += weight * (fraction - smoothedFraction);
        lastSampleMillis = nowMillis;
        spilling = smoothedFraction > (spilling ? RETURN_FRACTION : LEAVE_FRACTION);
    }
}
