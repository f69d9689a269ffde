package org.snipewind.coordination.clock;

import java.util.concurrent.TimeUnit;

/** The clock of the running process; it keeps counting while the process is stopped by a signal. */
public final class SystemMillisClock implements MillisClock {

    /** Creates a clock that reads the monotonic time of the Java virtual machine. */
    public SystemMillisClock() {}

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
