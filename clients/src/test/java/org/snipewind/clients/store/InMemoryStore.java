package org.snipewind.clients.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An in-memory store of one value whose calls can fail and whose responses can be lost or held back. */
final class InMemoryStore implements KeyValueStore {

    final List<CompletableFuture<Void>> heldResponses = new ArrayList<>();
    boolean holdsResponses;
    boolean losesSwapResponses;
    boolean losesSwaps;
    boolean isUnreachable;
    private VersionedValue value;

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        if (isUnreachable) {
            return CompletableFuture.failedFuture(new StoreException("store unreachable", null));
        }
        Optional<VersionedValue> found = Optional.ofNullable(value);
        if (holdsResponses) {
            CompletableFuture<Void> release = new CompletableFuture<>();
            heldResponses.add(release);
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
        return losesSwapResponses || losesSwaps
                ? CompletableFuture.failedFuture(new StoreException("response lost", null))
                : CompletableFuture.completedFuture(new SwapResult(applied, applied ? version + 1 : version));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return get(key);
    }

    @Override
    public void close() {}
}
