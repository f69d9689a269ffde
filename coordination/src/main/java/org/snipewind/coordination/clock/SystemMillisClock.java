package org.snipewind.coordination.clock;

import java.util.concurrent.TimeUnit;

/** The monotonic system clock; it also advances while the process is stopped by a signal. */
public final class SystemMillisClock implements MillisClock {

    /** Creates a clock that reads {@link System#nanoTime}. */
    public SystemMillisClock() {}

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
