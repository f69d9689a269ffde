package org.snipewind.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests for conditions that other threads fulfil. */
public final class Conditions {

    private static final long MAX_WAIT_MILLIS = 10_000;
    private static final long CHECK_INTERVAL_MILLIS = 5;

    private Conditions() {}

    /** Waits until a condition holds, and fails if it does not within ten seconds. */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not fulfilled within " + MAX_WAIT_MILLIS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
        }
    }
}
