package org.snipewind.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreException;
import org.snipewind.clients.store.SwapResult;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.coordination.clock.MillisClock;

/** A store that can be unreachable for all or some daemons, lose the responses to writes, and delay writes. */
final class SimulatedStore {

    final Set<String> refusedCallers = new HashSet<>();
    /** Keys whose writes are delayed, and reported as failed, until {@link #releaseHeldWrites} applies them. */
    final Set<String> heldKeys = new HashSet<>();

    boolean isDown;
    boolean losesSwapResponses;
    int lostResponses;
    final List<Boolean> releasedWritesApplied = new ArrayList<>();

    private final MillisClock clock;
    private final Map<String, VersionedValue> values = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<Runnable> heldWrites = new ArrayList<>();

    private record Watch(
            SimulatedDaemon daemon,
            String key,
            long knownVersion,
            long endMillis,
            CompletableFuture<Optional<VersionedValue>> result) {}

    SimulatedStore(MillisClock clock) {
        this.clock = clock;
    }

    Optional<VersionedValue> read(String key) {
        return Optional.ofNullable(values.get(key));
    }

    void put(String key, byte[] content) {
        swap(key, read(key).map(VersionedValue::version).orElse(0L), content);
    }

    int heldWriteCount() {
        return heldWrites.size();
    }

    void releaseHeldWrites() {
        heldKeys.clear();
        List<Runnable> writes = List.copyOf(heldWrites);
        heldWrites.clear();
        writes.forEach(Runnable::run);
    }

    /** Ends the watches whose wait has expired. */
    void tick() {
        for (Watch watch : List.copyOf(watches)) {
            if (watch.endMillis() <= clock.nowMillis()) {
                watches.remove(watch);
                boolean fails = isUnreachable(watch.daemon());
                watch.daemon().deliver(() -> endWatch(watch.result(), fails));
            }
        }
    }

    KeyValueStore clientOf(SimulatedDaemon daemon) {
        return new KeyValueStore() {
            @Override
            public CompletableFuture<Optional<VersionedValue>> get(String key) {
                return isUnreachable(daemon) ? failedCall() : CompletableFuture.completedFuture(read(key));
            }

            @Override
            public CompletableFuture<SwapResult> compareAndSwap(String key, long expected, byte[] content) {
                if (isUnreachable(daemon)) {
                    return failedCall();
                }
                if (heldKeys.contains(key)) {
                    heldWrites.add(() -> releasedWritesApplied.add(
                            swap(key, expected, content).applied()));
                    return failedCall();
                }
                SwapResult result = swap(key, expected, content);
                if (losesSwapResponses) {
                    lostResponses++;
                    return failedCall();
                }
                return CompletableFuture.completedFuture(result);
            }

            @Override
            public CompletableFuture<Optional<VersionedValue>> watch(String key, long known, long waitMillis) {
                if (isUnreachable(daemon)) {
                    return failedCall();
                }
                if (read(key).filter(value -> value.version() > known).isPresent()) {
                    return CompletableFuture.completedFuture(read(key));
                }
                CompletableFuture<Optional<VersionedValue>> result = new CompletableFuture<>();
                watches.add(new Watch(daemon, key, known, clock.nowMillis() + waitMillis, result));
                return result;
            }

            @Override
            public void close() {}
        };
    }

    private boolean isUnreachable(SimulatedDaemon daemon) {
        return isDown || refusedCallers.contains(daemon.id());
    }

    private SwapResult swap(String key, long expected, byte[] content) {
        long version = read(key).map(VersionedValue::version).orElse(0L);
        if (version != expected) {
            return new SwapResult(false, version);
        }
        VersionedValue value = new VersionedValue(version + 1, content);
        values.put(key, value);
        for (Watch watch : List.copyOf(watches)) {
            if (watch.key().equals(key) && watch.knownVersion() < value.version() && !isUnreachable(watch.daemon())) {
                watches.remove(watch);
                watch.daemon().deliver(() -> watch.result().complete(Optional.of(value)));
            }
        }
        return new SwapResult(true, version + 1);
    }

    private static void endWatch(CompletableFuture<Optional<VersionedValue>> result, boolean fails) {
        if (fails) {
            result.completeExceptionally(new StoreException("down", null));
        } else {
            result.complete(Optional.empty());
        }
    }

    private static <T> CompletableFuture<T> failedCall() {
        return CompletableFuture.failedFuture(new StoreException("down", null));
    }
}
