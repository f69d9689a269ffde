package org.snipewind.daemon;

import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;

/** Waits for conditions during start and shutdown. */
final class ConditionPoller {

    private static final long STEP_MILLIS = 10;

    private ConditionPoller() {}

    /** Waits until a condition holds or the time is over, and tells whether it holds. */
    static boolean await(MillisClock clock, long endMillis, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (clock.nowMillis() >= endMillis) {
                return false;
            }
            try {
                Thread.sleep(STEP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
