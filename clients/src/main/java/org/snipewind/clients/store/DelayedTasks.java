package org.snipewind.clients.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay. */
@FunctionalInterface
public interface DelayedTasks {

    /**
     * Runs a task once after a delay.
     *
     * @param task the task
     * @param delayMillis the delay in milliseconds
     */
    void runAfter(Runnable task, long delayMillis);

    /**
     * Gives a scheduler on the timer of the Java virtual machine.
     *
     * @return the scheduler
     */
    static DelayedTasks system() {
        return (task, delayMillis) -> CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS)
                .execute(task);
    }
}
