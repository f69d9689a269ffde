package org.snipewind.coordination.budget;

/**
 * Allows extra attempts up to a share of first tries; all methods are synchronized.
 *
 * <p>The balance is kept in whole millionths so that a share such as 0.1 adds up without rounding.
 */
public final class ExtraAttemptBudget {

    private static final long UNIT = 1_000_000;

    private final long share;
    private final long capacity;
    private long balance;

    /**
     * Creates an allowance.
     *
     * @param share extra attempts earned by each first try, from 0 to 1
     * @param initial extra attempts allowed at first
     * @param capacity most extra attempts saved up
     */
    public ExtraAttemptBudget(double share, int initial, int capacity) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share " + share + " is not between 0 and 1");
        }
        this.share = Math.round(share * UNIT);
        this.capacity = capacity * UNIT;
        this.balance = Math.min(initial * UNIT, this.capacity);
    }

    /** Earns the share of one first try. */
    public synchronized void recordFirstAttempt() {
        balance = Math.min(capacity, balance + share);
    }

    /**
     * Takes one extra attempt.
     *
     * @return whether the attempt is allowed
     */
    public synchronized boolean tryAcquire() {
        if (balance < UNIT) {
            return false;
        }
        balance -= UNIT;
        return true;
    }
}
