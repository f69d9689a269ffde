package org.snipewind.coordination.admission;

import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Order in which refused callers return to one pool or target: each gets the next place that is expected to become free
 * after those that were promised to others; not thread-safe.
 */
final class ReturnSchedule {

    private double nextPlaceMillis = Double.NEGATIVE_INFINITY;

    /**
     * Promises the next place, if it becomes free in time.
     *
     * @param window times at which the caller can return
     * @param spacingMillis time between two places of this instance
     * @param nowMillis current time
     * @param random source of uniformly distributed random numbers from 0 (inclusive) to 1 (exclusive)
     * @return delay after which the caller should return, empty if no place becomes free in time
     */
    OptionalLong promise(ReturnWindow window, double spacingMillis, long nowMillis, DoubleSupplier random) {
        // The phase differs between instances, so that callers refused together don't return together.
        double spread = Math.max(0, Math.min(spacingMillis, window.preferredMillis() - window.earliestMillis()));
        double first = nowMillis + window.earliestMillis() + spread * random.getAsDouble();
        double place = Math.max(first, nextPlaceMillis);
        if (place > nowMillis + window.latestMillis()) {
            return OptionalLong.empty();
        }
        nextPlaceMillis = place + spacingMillis;
        return OptionalLong.of((long) (place - nowMillis));
    }

    /** Returns whether a promised place is still ahead. */
    boolean isActive(long nowMillis) {
        return nextPlaceMillis > nowMillis;
    }
}
