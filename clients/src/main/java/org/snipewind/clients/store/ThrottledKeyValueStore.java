package org.snipewind.clients.store;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Decorates a store so that its calls keep to the limits of a {@link StoreCallLimiter} and run one at a time per key.
 *
 * <p>Watches have queues of their own: a watch spends most of its time waiting, so reads and writes of a key do not
 * wait for a watch of the same key, but a second watch of the key does. Failed calls are not retried, because only the
 * caller knows whether a retry is safe.
 */
public final class ThrottledKeyValueStore implements KeyValueStore {

    private final KeyValueStore store;
    private final StoreCallLimiter limiter;
    private final TaskScheduler scheduler;
    // Guarded by itself. Holds the waiting calls by queue key; an entry is present exactly while one of its calls is
    // waiting, delayed or in flight.
    private final Map<String, Queue<Runnable>> queues = new HashMap<>();

    /**
     * Creates a throttled store.
     *
     * @param store the store to call
     * @param limiter limits the calls of the process
     * @param scheduler runs calls that the limiter delays
     */
    public ThrottledKeyValueStore(KeyValueStore store, StoreCallLimiter limiter, TaskScheduler scheduler) {
        this.store = store;
        this.limiter = limiter;
        this.scheduler = scheduler;
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        return enqueue("call " + key, () -> store.get(key));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        return enqueue("call " + key, () -> store.compareAndSwap(key, expectedVersion, content));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return enqueue("watch " + key, () -> store.watch(key, knownVersion, waitMillis));
    }

    @Override
    public void close() {
        store.close();
    }

    private <T> CompletableFuture<T> enqueue(String queueKey, Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        Runnable start = () -> start(queueKey, call, outcome);
        synchronized (queues) {
            Queue<Runnable> waiting = queues.get(queueKey);
            if (waiting != null) {
                waiting.add(start);
                return outcome;
            }
            queues.put(queueKey, new ArrayDeque<>());
        }
        start.run();
        return outcome;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The stage completes the outcome with its result or failure.
    private <T> void start(String queueKey, Supplier<CompletableFuture<T>> call, CompletableFuture<T> outcome) {
        long delayMillis = limiter.tryAcquire();
        if (delayMillis > 0) {
            scheduler.schedule(() -> start(queueKey, call, outcome), delayMillis);
            return;
        }
        call.get().whenComplete((result, failure) -> {
            if (failure == null) {
                limiter.onSuccess();
                startNext(queueKey);
                outcome.complete(result);
            } else {
                limiter.onFailure();
                startNext(queueKey);
                outcome.completeExceptionally(failure);
            }
        });
    }

    private void startNext(String queueKey) {
        Runnable next;
        synchronized (queues) {
            next = queues.get(queueKey).poll();
            if (next == null) {
                queues.remove(queueKey);
            }
        }
        if (next != null) {
            next.run();
        }
    }
}
