package org.snipewind.clients.store;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Keeps the calls to a store within a {@link StoreBudget} and to one at a time per key.
 *
 * <p>A watch waits for most of its time, so reads and writes of a key do not queue behind a watch of the same key; two
 * watches of one key do. A call is not repeated here, because whether that is right depends on the caller.
 */
public final class ThrottledKeyValueStore implements KeyValueStore {

    private final KeyValueStore store;
    private final StoreBudget budget;
    private final DelayedTasks delays;
    // Guarded by itself; a lane is present exactly while one of its calls is queued, delayed or in flight.
    private final Map<String, Queue<Runnable>> lanes = new HashMap<>();

    /**
     * Creates a throttled view of a store.
     *
     * @param store the store
     * @param budget budget of the process
     * @param delays runs calls that have to wait
     */
    public ThrottledKeyValueStore(KeyValueStore store, StoreBudget budget, DelayedTasks delays) {
        this.store = store;
        this.budget = budget;
        this.delays = delays;
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

    private <T> CompletableFuture<T> enqueue(String lane, Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        Runnable start = () -> start(lane, call, outcome);
        synchronized (lanes) {
            Queue<Runnable> waiting = lanes.get(lane);
            if (waiting != null) {
                waiting.add(start);
                return outcome;
            }
            lanes.put(lane, new ArrayDeque<>());
        }
        start.run();
        return outcome;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The stage passes its result on to the outcome.
    private <T> void start(String lane, Supplier<CompletableFuture<T>> call, CompletableFuture<T> outcome) {
        long delayMillis = budget.acquire();
        if (delayMillis > 0) {
            delays.runAfter(() -> start(lane, call, outcome), delayMillis);
            return;
        }
        call.get().whenComplete((result, failure) -> {
            if (failure == null) {
                budget.succeeded();
                startNext(lane);
                outcome.complete(result);
            } else {
                budget.failed();
                startNext(lane);
                outcome.completeExceptionally(failure);
            }
        });
    }

    private void startNext(String lane) {
        Runnable next;
        synchronized (lanes) {
            next = lanes.get(lane).poll();
            if (next == null) {
                lanes.remove(lane);
            }
        }
        if (next != null) {
            next.run();
        }
    }
}
