package org.snipewind.daemon;

import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;

/** Waits for conditions by polling. */
final class ConditionPoller {

    private static final long POLL_INTERVAL_MILLIS = 10;

    private ConditionPoller() {}

    /** Waits until a condition holds; returns false if the end time is reached or the thread is interrupted first. */
    static boolean await(MillisClock clock, long endMillis, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (clock.nowMillis() >= endMillis) {
                return false;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
