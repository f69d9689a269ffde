package org.snipewind.daemon;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.SwapResult;
import org.snipewind.clients.store.VersionedValue;

/** An in-memory store without faults. */
final class MemoryStore implements KeyValueStore {

    private static final long POLL_MILLIS = 20;

    private final Map<String, VersionedValue> values = new ConcurrentHashMap<>();

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        return CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
    }

    @Override
    public synchronized CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        VersionedValue value = values.get(key);
        long version = value == null ? 0 : value.version();
        if (version != expectedVersion) {
            return CompletableFuture.completedFuture(new SwapResult(false, version));
        }
        values.put(key, new VersionedValue(version + 1, content));
        return CompletableFuture.completedFuture(new SwapResult(true, version + 1));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        VersionedValue value = values.get(key);
        if (value != null && value.version() > knownVersion) {
            return CompletableFuture.completedFuture(Optional.of(value));
        }
        if (waitMillis <= 0) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return CompletableFuture.supplyAsync(
                        () -> watch(key, knownVersion, waitMillis - POLL_MILLIS),
                        CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS))
                .thenCompose(next -> next);
    }

    @Override
    public void close() {}
}
