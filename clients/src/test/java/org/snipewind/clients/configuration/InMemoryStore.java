package org.snipewind.clients.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreException;
import org.snipewind.clients.store.SwapResult;
import org.snipewind.clients.store.VersionedValue;

/** An in-memory store whose responses can be lost after the calls took effect. */
final class InMemoryStore implements KeyValueStore {

    private final Map<String, VersionedValue> values = new HashMap<>();
    /** Runs once, before the next swap of the current revision. */
    Runnable beforeSwap = () -> {};

    /** Number of swaps of the current revision whose responses are still to be lost. */
    int lostResponses;

    @Override
    public synchronized CompletableFuture<Optional<VersionedValue>> get(String key) {
        return CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
    }

    @Override
    public synchronized CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        boolean isCurrent = key.equals(ConfigurationStore.CURRENT_KEY);
        if (isCurrent) {
            Runnable action = beforeSwap;
            beforeSwap = () -> {};
            action.run();
        }
        long version = values.containsKey(key) ? values.get(key).version() : 0;
        boolean applied = version == expectedVersion;
        if (applied) {
            values.put(key, new VersionedValue(version + 1, content));
        }
        if (isCurrent && lostResponses > 0) {
            lostResponses--;
            return CompletableFuture.failedFuture(new StoreException("response lost", null));
        }
        return CompletableFuture.completedFuture(new SwapResult(applied, applied ? version + 1 : version));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return get(key);
    }

    @Override
    public void close() {}
}
