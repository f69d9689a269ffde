package org.snipewind.coordination.target;

import java.util.ArrayDeque;
import java.util.Deque;
import org.snipewind.coordination.clock.MillisClock;

/**
 * This instance's part of the repeated sends that a pool may get within a sliding window; all methods are synchronized.
 *
 * <p>The limit is a share of the instance's own first sends plus its part of a fixed allowance, so the sum over all
 * instances stays within the pool's limit without any exchange (Bronson et al., HotOS 2021, on why retries need one).
 */
public final class WindowedRetryBudget {

    private final MillisClock clock;
    private final long windowMillis;
    private final double ratio;
    private final Deque<Long> firsts = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param clock the clock of the window
     * @param windowMillis length of the sliding window
     * @param ratio repeats allowed for each first send
     */
    public WindowedRetryBudget(MillisClock clock, long windowMillis, double ratio) {
        this.clock = clock;
        this.windowMillis = windowMillis;
        this.ratio = ratio;
    }

    /** Counts the first send of a request. */
    public synchronized void recordFirstAttempt() {
        firsts.addLast(clock.nowMillis());
        expire(firsts);
    }

    /**
     * Takes the right to send a request once more.
     *
     * @param allowance this instance's part of the fixed allowance
     * @return false if the budget is used up
     */
    public synchronized boolean tryAcquire(double allowance) {
        expire(firsts);
        expire(repeats);
        if (repeats.size() + 1 > firsts.size() * ratio + allowance) {
            return false;
        }
        repeats.addLast(clock.nowMillis());
        return true;
    }

    private void expire(Deque<Long> times) {
        long oldest = clock.nowMillis() - windowMillis;
        while (!times.isEmpty() && times.peekFirst() <= oldest) {
            times.removeFirst();
        }
    }
}
