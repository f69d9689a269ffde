package org.snipewind.coordination.retry;

import org.snipewind.coordination.budget.ExtraAttemptBudget;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Limits retries to a fraction of first attempts plus a small steady allowance.
 *
 * <p>Without the limit, retries multiply the load of an overloaded target and keep it overloaded after the cause has
 * gone (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021). The steady allowance lets an
 * organisation with few requests retry at all. All methods are thread-safe.
 */
public final class RetryBudget {

    /** Limits the retries saved up at times without failures, as they are all sent at once when an outage begins. */
    private static final int MAX_SAVED_RETRIES = 10;

    private final ExtraAttemptBudget earnedRetries;
    private final TokenBucket steadyAllowance;

    /**
     * Creates a budget whose steady allowance of one second is available at once.
     *
     * @param clock the clock that refills the steady allowance
     * @param retriesPerFirstAttempt retries earned by each first attempt, from 0 to 1
     * @param minimumPerSecond retries per second allowed in any case, not negative
     */
    public RetryBudget(MillisClock clock, double retriesPerFirstAttempt, int minimumPerSecond) {
        earnedRetries = new ExtraAttemptBudget(retriesPerFirstAttempt, 0, MAX_SAVED_RETRIES);
        steadyAllowance = new TokenBucket(clock, minimumPerSecond, minimumPerSecond, minimumPerSecond);
    }

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        earnedRetries.recordFirstAttempt();
    }

    /**
     * Takes one retry from the budget if there is one.
     *
     * @return whether the retry may be sent
     */
    public boolean tryAcquire() {
        return earnedRetries.tryAcquire() || steadyAllowance.take(1) == 1;
    }
}
