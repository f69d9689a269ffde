package org.snipewind.coordination.target;

import java.util.ArrayDeque;
import java.util.Deque;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Limits the retries that this instance sends to a pool within a sliding window; all methods are synchronized.
 *
 * <p>The limit is a fraction of the instance's own first attempts plus its share of a fixed allowance. The sum over all
 * instances therefore stays within the pool's limit without any exchange between them. Bronson et al. (HotOS 2021)
 * explain why retries need a limit.
 */
public final class WindowedRetryBudget {

    private final MillisClock clock;
    private final long windowMillis;
    private final double retriesPerFirstAttempt;
    private final Deque<Long> firstAttemptTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param clock the clock of the window
     * @param windowMillis duration of the sliding window
     * @param retriesPerFirstAttempt retries allowed for each first attempt
     */
    public WindowedRetryBudget(MillisClock clock, long windowMillis, double retriesPerFirstAttempt) {
        this.clock = clock;
        this.windowMillis = windowMillis;
        this.retriesPerFirstAttempt = retriesPerFirstAttempt;
    }

    /** Counts the first attempt of a request. */
    public synchronized void recordFirstAttempt() {
        firstAttemptTimes.addLast(clock.nowMillis());
        removeExpired(firstAttemptTimes);
    }

    /**
     * Takes one retry from the budget if there is one.
     *
     * @param allowance this instance's share of the fixed allowance, in retries
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryAcquire(double allowance) {
        removeExpired(firstAttemptTimes);
        removeExpired(retryTimes);
        if (retryTimes.size() + 1 > firstAttemptTimes.size() * retriesPerFirstAttempt + allowance) {
            return false;
        }
        retryTimes.addLast(clock.nowMillis());
        return true;
    }

    private void removeExpired(Deque<Long> times) {
        long windowStart = clock.nowMillis() - windowMillis;
        while (!times.isEmpty() && times.peekFirst() <= windowStart) {
            times.removeFirst();
        }
    }
}
