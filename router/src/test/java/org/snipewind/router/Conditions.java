package org.snipewind.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits of tests for what other threads do. */
public final class Conditions {

    private static final long LONGEST_WAIT_MILLIS = 10_000;
    private static final long CHECK_MILLIS = 5;

    private Conditions() {}

    /** Waits until a condition holds, and fails if it does not within ten seconds. */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition does not hold after " + LONGEST_WAIT_MILLIS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
        }
    }
}
