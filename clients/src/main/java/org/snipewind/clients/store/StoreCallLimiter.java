package org.snipewind.clients.store;

import java.util.function.DoubleSupplier;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Limits the calls of one process to the store by a token bucket and, after failures, by backoff with full jitter.
 *
 * <p>The call rates that the store supports grow more slowly than the fleet, so each process uses only a small fraction
 * of them.
 */
public final class StoreCallLimiter {

    /** Tokens added per second; each call takes one token. */
    public static final double RATE_PER_SECOND = 5;
    /** Capacity of the token bucket, which is the maximum number of calls at once. */
    public static final int BURST = 20;

    // The initial upper bound of the random backoff is close to the usual duration of a call. The maximum is less than
    // the 10 s after which a copy of a record counts as outdated.
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private final MillisClock clock;
    private final DoubleSupplier random;
    private double tokens = BURST;
    private long refilledAtMillis;
    private long backoffEndMillis;
    private int consecutiveFailures;

    /**
     * Creates a limiter with a full token bucket.
     *
     * @param clock the clock
     * @param random supplies random numbers from 0 inclusive to 1 exclusive
     */
    public StoreCallLimiter(MillisClock clock, DoubleSupplier random) {
        this.clock = clock;
        this.random = random;
        refilledAtMillis = clock.nowMillis();
        backoffEndMillis = refilledAtMillis;
    }

    /**
     * Takes a token for one call if one is available and no backoff is in progress.
     *
     * @return 0 if the call may be made now, otherwise the milliseconds after which to try again
     */
    public synchronized long tryAcquire() {
        long now = clock.nowMillis();
        tokens = Math.min(BURST, tokens + (now - refilledAtMillis) * RATE_PER_SECOND / 1_000);
        refilledAtMillis = now;
        if (now < backoffEndMillis) {
            return backoffEndMillis - now;
        }
        if (tokens < 1) {
            return (long) Math.ceil((1 - tokens) * 1_000 / RATE_PER_SECOND);
        }
        tokens -= 1;
        return 0;
    }

    /** Ends the backoff after a call to which the store responded. */
    public synchronized void onSuccess() {
        consecutiveFailures = 0;
        backoffEndMillis = clock.nowMillis();
    }

    /** Starts or lengthens the backoff after a failed call. */
    public synchronized void onFailure() {
        long maxDelayMillis = Math.min(
                MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS));
        consecutiveFailures++;
        backoffEndMillis = clock.nowMillis() + (long) (random.getAsDouble() * maxDelayMillis);
    }
}
