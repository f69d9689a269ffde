package org.snipewind.coordination.selection;

import java.util.OptionalLong;
import org.snipewind.coordination.admission.LatencyTracker;
import org.snipewind.coordination.budget.ExtraAttemptBudget;

/**
 * Decides when an idempotent request gets a second attempt at another target while the first has no response yet.
 *
 * <p>A hedge after the 95th percentile of latency shortens the tail of latency at the cost of a few per cent more
 * requests (Dean and Barroso, The Tail at Scale, 2013). The budget limits that cost when all targets are slow. All
 * methods are thread-safe.
 */
public final class HedgePolicy {

    private static final double DELAY_QUANTILE = 0.95;
    private static final int INITIAL_HEDGES = 2;
    private static final int MAX_SAVED_HEDGES = 10;

    private final ExtraAttemptBudget budget;

    /**
     * Creates a policy.
     *
     * @param hedgesPerFirstAttempt hedges earned by each first attempt, from 0 to 1
     */
    public HedgePolicy(double hedgesPerFirstAttempt) {
        budget = new ExtraAttemptBudget(hedgesPerFirstAttempt, INITIAL_HEDGES, MAX_SAVED_HEDGES);
    }

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        budget.recordFirstAttempt();
    }

    /**
     * Returns how long to wait for the first attempt before a hedge is sent.
     *
     * @param latencies latencies of the pool
     * @return microseconds, or empty if too few latencies are known
     */
    public OptionalLong delayMicros(LatencyTracker latencies) {
        return latencies.quantileMicros(DELAY_QUANTILE);
    }

    /**
     * Takes one hedge from the budget if there is one.
     *
     * @return whether the hedge may be sent
     */
    public boolean tryAcquire() {
        return budget.tryAcquire();
    }
}
