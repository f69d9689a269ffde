package org.snipewind.coordination.clock;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when told to, for tests that decide by time. */
public final class ManualMillisClock implements MillisClock {

    private final AtomicLong now;

    /**
     * Creates a clock.
     *
     * @param startMillis the first reading in milliseconds
     */
    public ManualMillisClock(long startMillis) {
        now = new AtomicLong(startMillis);
    }

    /**
     * Moves the clock forward.
     *
     * @param millis milliseconds to add, not negative
     * @throws IllegalArgumentException if {@code millis} is negative
     */
    public void advance(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("a monotonic clock cannot move back by " + -millis + " ms");
        }
        now.addAndGet(millis);
    }

    @Override
    public long nowMillis() {
        return now.get();
    }
}
