package org.snipewind.coordination.retry;

import org.snipewind.coordination.budget.ExtraAttemptBudget;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Limits retries to a share of first tries plus a small steady allowance.
 *
 * <p>Without the limit, retries multiply the load of an overloaded target and keep it overloaded after the cause has
 * gone (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021). The steady allowance lets an
 * organisation with few requests retry at all. All methods are safe for use by several threads.
 */
public final class RetryBudget {

    /** Bounds the retries saved up in quiet times, which are sent at once when an outage begins. */
    private static final int SAVED_RETRIES = 10;

    private final ExtraAttemptBudget allowance;
    private final TokenBucket steady;

    /**
     * Creates a budget whose steady allowance of one second is available at once.
     *
     * @param clock the clock that refills the steady allowance
     * @param share retries earned by each first try, from 0 to 1
     * @param minimumPerSecond retries per second allowed in any case, not negative
     */
    public RetryBudget(MillisClock clock, double share, int minimumPerSecond) {
        allowance = new ExtraAttemptBudget(share, 0, SAVED_RETRIES);
        steady = new TokenBucket(clock, minimumPerSecond, minimumPerSecond, minimumPerSecond);
    }

    /** Counts a first try. */
    public void recordFirstAttempt() {
        allowance.recordFirstAttempt();
    }

    /**
     * Takes one retry from the budget.
     *
     * @return whether the retry may be sent
     */
    public boolean tryAcquire() {
        return allowance.tryAcquire() || steady.take(1) == 1;
    }
}
