package org.snipewind.coordination.budget;

import org.snipewind.coordination.clock.MillisClock;

/** A token bucket over a millisecond clock; all methods are synchronized. */
public final class TokenBucket {

    private final MillisClock clock;
    private double ratePerSecond;
    private double capacity;
    private double level;
    private long filledAtMillis;

    /**
     * Creates a bucket.
     *
     * @param clock the clock that refills the bucket
     * @param ratePerSecond tokens added per second, not negative
     * @param capacity most tokens that the bucket holds, not negative
     * @param initial tokens held at first, reduced to the capacity
     */
    public TokenBucket(MillisClock clock, double ratePerSecond, double capacity, double initial) {
        BudgetRules.requireNotNegative(ratePerSecond, capacity);
        this.clock = clock;
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.level = Math.max(0, Math.min(initial, capacity));
        this.filledAtMillis = clock.nowMillis();
    }

    /**
     * Takes whole tokens, as many as there are.
     *
     * @param wanted most tokens to take
     * @return number of tokens taken, from 0 to {@code wanted}
     */
    public synchronized int take(int wanted) {
        refill();
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(level)));
        level -= taken;
        return taken;
    }

    /**
     * Tells when the bucket will hold a number of tokens if none is taken before.
     *
     * @param tokens number of tokens
     * @return milliseconds from now, or {@link Long#MAX_VALUE} if the bucket never holds that many
     */
    public synchronized long millisUntil(int tokens) {
        refill();
        if (level >= tokens) {
            return 0;
        }
        if (tokens > capacity || ratePerSecond == 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((tokens - level) * 1_000 / ratePerSecond);
    }

    /**
     * Changes rate and capacity; the time until now counts at the old rate.
     *
     * @param rate tokens added per second from now on, not negative
     * @param newCapacity most tokens that the bucket holds from now on, not negative
     */
    public synchronized void reconfigure(double rate, double newCapacity) {
        BudgetRules.requireNotNegative(rate, newCapacity);
        refill();
        ratePerSecond = rate;
        capacity = newCapacity;
        level = Math.min(level, newCapacity);
    }

    private void refill() {
        long now = clock.nowMillis();
        level = Math.min(capacity, level + (now - filledAtMillis) * ratePerSecond / 1_000);
        filledAtMillis = now;
    }
}
