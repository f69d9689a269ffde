package org.snipewind.coordination.budget;

/**
 * Limits extra attempts, such as retries, to a ratio of the first attempts; all methods are synchronized.
 *
 * <p>The balance is kept in whole millionths of an attempt, so that a ratio such as 0.1 adds up without rounding.
 */
public final class ExtraAttemptBudget {

    private static final long MILLIONTHS_PER_ATTEMPT = 1_000_000;

    private final long earnedMillionths;
    private final long capacityMillionths;
    private long balanceMillionths;

    /**
     * Creates a budget.
     *
     * @param ratio extra attempts earned by each first attempt, from 0 to 1
     * @param initial extra attempts available at the start, reduced to the capacity
     * @param capacity maximum number of extra attempts saved up
     * @throws IllegalArgumentException if the ratio is not between 0 and 1
     */
    public ExtraAttemptBudget(double ratio, int initial, int capacity) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio " + ratio + " is not between 0 and 1");
        }
        this.earnedMillionths = Math.round(ratio * MILLIONTHS_PER_ATTEMPT);
        this.capacityMillionths = capacity * MILLIONTHS_PER_ATTEMPT;
        this.balanceMillionths = Math.min(initial * MILLIONTHS_PER_ATTEMPT, this.capacityMillionths);
    }

    /** Records a first attempt, which earns a fraction of an extra one. */
    public synchronized void recordFirstAttempt() {
        balanceMillionths = Math.min(capacityMillionths, balanceMillionths + earnedMillionths);
    }

    /**
     * Takes one extra attempt from the budget if there is one.
     *
     * @return whether the attempt is allowed
     */
    public synchronized boolean tryAcquire() {
        if (balanceMillionths < MILLIONTHS_PER_ATTEMPT) {
            return false;
        }
        balanceMillionths -= MILLIONTHS_PER_ATTEMPT;
        return true;
    }
}
