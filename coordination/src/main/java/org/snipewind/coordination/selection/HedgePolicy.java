package org.snipewind.coordination.selection;

import java.util.OptionalLong;
import org.snipewind.coordination.admission.LatencyTracker;
import org.snipewind.coordination.budget.ExtraAttemptBudget;

/**
 * Decides when an idempotent request gets a second attempt at another target while the first is unanswered.
 *
 * <p>A hedge after the 95th percentile of latency cuts the tail at the cost of a few per cent more requests (Dean and
 * Barroso, The Tail at Scale, 2013). The share bounds that cost when all targets are slow. All methods are safe for
 * use by several threads.
 */
public final class HedgePolicy {

    private static final double DELAY_QUANTILE = 0.95;
    private static final int INITIAL_HEDGES = 2;
    private static final int SAVED_HEDGES = 10;

    private final ExtraAttemptBudget allowance;

    /**
     * Creates a policy.
     *
     * @param share hedges earned by each first try, from 0 to 1
     */
    public HedgePolicy(double share) {
        allowance = new ExtraAttemptBudget(share, INITIAL_HEDGES, SAVED_HEDGES);
    }

    /** Counts a first try. */
    public void recordFirstAttempt() {
        allowance.recordFirstAttempt();
    }

    /**
     * Tells how long to wait for the first attempt before the hedge.
     *
     * @param latencies latencies of the pool
     * @return microseconds, or empty if too few answers are known
     */
    public OptionalLong delayMicros(LatencyTracker latencies) {
        return latencies.quantileMicros(DELAY_QUANTILE);
    }

    /**
     * Takes one hedge from the share.
     *
     * @return whether the hedge may be sent
     */
    public boolean tryAcquire() {
        return allowance.tryAcquire();
    }
}
