package org.snipewind.clients.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay. */
@FunctionalInterface
public interface TaskScheduler {

    /**
     * Schedules a task to run once after a delay.
     *
     * @param task the task
     * @param delayMillis the delay in milliseconds
     */
    void schedule(Runnable task, long delayMillis);

    /**
     * Returns a scheduler that uses the default asynchronous executor of {@link CompletableFuture}.
     *
     * @return the scheduler
     */
    static TaskScheduler system() {
        return (task, delayMillis) -> CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS)
                .execute(task);
    }
}
