package org.snipewind.coordination.clock;

/** A monotonic clock in milliseconds; its readings are comparable only within one process. */
@FunctionalInterface
public interface MillisClock {

    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary fixed point, never decreasing
     */
    long nowMillis();
}
