package org.snipewind.coordination.budget;

import org.snipewind.coordination.clock.MillisClock;

/** A token bucket on a millisecond clock; all methods are synchronized. */
public final class TokenBucket {

    private final MillisClock clock;
    private double ratePerSecond;
    private double capacity;
    private double tokens;
    private long refilledAtMillis;

    /**
     * Creates a bucket.
     *
     * @param clock the clock that refills the bucket
     * @param ratePerSecond tokens added per second, not negative
     * @param capacity maximum number of tokens in the bucket, not negative
     * @param initial tokens in the bucket at the start, reduced to the capacity
     * @throws IllegalArgumentException if rate or capacity is negative
     */
    public TokenBucket(MillisClock clock, double ratePerSecond, double capacity, double initial) {
        BudgetRules.requireNotNegative(ratePerSecond, capacity);
        this.clock = clock;
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.tokens = Math.max(0, Math.min(initial, capacity));
        this.refilledAtMillis = clock.nowMillis();
    }

    /**
     * Takes whole tokens, as many as are available.
     *
     * @param wanted maximum number of tokens to take
     * @return number of tokens taken, from 0 to {@code wanted}
     */
    public synchronized int take(int wanted) {
        refill();
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(tokens)));
        tokens -= taken;
        return taken;
    }

    /**
     * Returns the time until the bucket holds a number of tokens, provided that none is taken before.
     *
     * @param wanted number of tokens
     * @return milliseconds from now, or {@link Long#MAX_VALUE} if the bucket never holds that many
     */
    public synchronized long millisUntil(int wanted) {
        refill();
        if (tokens >= wanted) {
            return 0;
        }
        if (wanted > capacity || ratePerSecond == 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((wanted - tokens) * 1_000 / ratePerSecond);
    }

    /**
     * Changes rate and capacity; the bucket is first refilled at the old rate up to now.
     *
     * @param rate new number of tokens added per second, not negative
     * @param newCapacity new maximum number of tokens in the bucket, not negative
     * @throws IllegalArgumentException if rate or capacity is negative
     */
    public synchronized void reconfigure(double rate, double newCapacity) {
        BudgetRules.requireNotNegative(rate, newCapacity);
        refill();
        ratePerSecond = rate;
        capacity = newCapacity;
        tokens = Math.min(tokens, newCapacity);
    }

    private void refill() {
        long now = clock.nowMillis();
        tokens = Math.min(capacity, tokens + (now - refilledAtMillis) * ratePerSecond / 1_000);
        refilledAtMillis = now;
    }
}
