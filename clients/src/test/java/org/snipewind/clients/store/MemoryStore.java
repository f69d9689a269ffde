package org.snipewind.clients.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A store of one key whose answers can be lost, held back or refused. */
final class MemoryStore implements KeyValueStore {

    final List<CompletableFuture<Void>> held = new ArrayList<>();
    boolean holdsAnswers;
    boolean losesSwapAnswers;
    boolean losesSwaps;
    boolean isDown;
    private VersionedValue value;

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        if (isDown) {
            return CompletableFuture.failedFuture(new StoreException("down", null));
        }
        Optional<VersionedValue> found = Optional.ofNullable(value);
        if (holdsAnswers) {
            CompletableFuture<Void> release = new CompletableFuture<>();
            held.add(release);
            return release.thenApply(ignored -> found);
        }
        return CompletableFuture.completedFuture(found);
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        long version = value == null ? 0 : value.version();
        boolean applied = !losesSwaps && version == expectedVersion;
        if (applied) {
            value = new VersionedValue(version + 1, content);
        }
        return losesSwapAnswers || losesSwaps
                ? CompletableFuture.failedFuture(new StoreException("lost", null))
                : CompletableFuture.completedFuture(new SwapResult(applied, applied ? version + 1 : version));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return get(key);
    }

    @Override
    public void close() {}
}
