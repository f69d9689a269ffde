package org.snipewind.standins.deployment;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Runs tasks concurrently and waits until all have completed. */
final class ParallelTasks {

    private static final int THREADS = 5;

    private ParallelTasks() {}

    static void runAll(List<Runnable> tasks) {
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        try {
            CompletableFuture.allOf(tasks.stream()
                            .map(task -> CompletableFuture.runAsync(task, executor))
                            .toArray(CompletableFuture[]::new))
                    .join();
        } finally {
            executor.shutdown();
        }
    }
}
