package org.snipewind.clients.store;

import java.util.function.DoubleSupplier;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Limits the calls of one process to the store by rate and, after failures, by full-jitter backoff.
 *
 * <p>The store's rates grow more slowly than the fleet, so each process keeps to a small share of them.
 */
public final class StoreBudget {

    /** Calls per second. */
    public static final double RATE = 5;
    /** Calls that may come at once. */
    public static final int BURST = 20;

    // The first bound lies near the usual time of a call; the last lies below the 10 s after which a copy of a record
    // counts as old.
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long LONGEST_BACKOFF_MILLIS = 5_000;
    private static final int LONGEST_DOUBLING = 10;

    private final MillisClock clock;
    private final DoubleSupplier random;
    private double tokens = BURST;
    private long refilledAt;
    private long notBefore;
    private int failures;

    /**
     * Creates a full budget.
     *
     * @param clock the clock
     * @param random gives numbers from 0 inclusive to 1 exclusive
     */
    public StoreBudget(MillisClock clock, DoubleSupplier random) {
        this.clock = clock;
        this.random = random;
        refilledAt = clock.nowMillis();
        notBefore = refilledAt;
    }

    /**
     * Takes the right to make one call.
     *
     * @return 0 if the call may be made now, or milliseconds after which to ask again
     */
    public synchronized long acquire() {
        long now = clock.nowMillis();
        tokens = Math.min(BURST, tokens + (now - refilledAt) * RATE / 1_000);
        refilledAt = now;
        if (now < notBefore) {
            return notBefore - now;
        }
        if (tokens < 1) {
            return (long) Math.ceil((1 - tokens) * 1_000 / RATE);
        }
        tokens -= 1;
        return 0;
    }

    /** Ends the backoff after a call that the store answered. */
    public synchronized void succeeded() {
        failures = 0;
        notBefore = clock.nowMillis();
    }

    /** Starts or lengthens the backoff after a call that the store did not answer. */
    public synchronized void failed() {
        long bound = Math.min(LONGEST_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(failures, LONGEST_DOUBLING));
        failures++;
        notBefore = clock.nowMillis() + (long) (random.getAsDouble() * bound);
    }
}
