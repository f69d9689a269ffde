package org.snipewind.coordination.clock;

/** A monotonic clock in milliseconds; readings can be compared only within one process. */
@FunctionalInterface
public interface MillisClock {

    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary fixed point, never decreasing
     */
    long nowMillis();
}
