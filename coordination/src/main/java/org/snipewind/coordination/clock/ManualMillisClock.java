package org.snipewind.coordination.clock;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that advances only on request, for tests of time-dependent code. */
public final class ManualMillisClock implements MillisClock {

    private final AtomicLong currentMillis;

    /**
     * Creates a clock.
     *
     * @param startMillis the initial reading in milliseconds
     */
    public ManualMillisClock(long startMillis) {
        currentMillis = new AtomicLong(startMillis);
    }

    /**
     * Advances the clock.
     *
     * @param millis milliseconds to add, not negative
     * @throws IllegalArgumentException if {@code millis} is negative
     */
    public void advance(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("a monotonic clock cannot move back by " + -millis + " ms");
        }
        currentMillis.addAndGet(millis);
    }

    @Override
    public long nowMillis() {
        return currentMillis.get();
    }
}
