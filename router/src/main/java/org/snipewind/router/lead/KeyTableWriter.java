package org.snipewind.router.lead;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.GuardedStore;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;

/**
 * Writes the key table of a pool with optimistic locking on its revision, and reads the item back if the outcome of a
 * write is unknown.
 */
final class KeyTableWriter {

    private final CoordinationStore store;
    private final StoreCache cache;
    private final String key;

    KeyTableWriter(CoordinationStore store, StoreCache cache, String key) {
        this.store = new GuardedStore(store);
        this.cache = cache;
        this.key = key;
    }

    /** Replaces the table that has the expected revision; completes with the revision of the new one. */
    CompletableFuture<Long> write(KeyTable table, long expectedRevision) {
        long era = cache.eras().era();
        byte[] value = RecordCodec.encode(table, era);
        return store.commit(List.of(new StoreWrite(key, expectedRevision, value, 0)))
                .handle((revision, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(revision);
                    }
                    // A write without a response may have taken effect, in which case a retry of it conflicts.
                    return isRefused(failure)
                            ? CompletableFuture.<Long>failedFuture(failure)
                            : readBack(value, expectedRevision, era);
                })
                .thenCompose(result -> result)
                .thenApply(revision -> {
                    cache.recordContact();
                    cache.applyWrite(new StoreItem(key, value, revision, 0));
                    return revision;
                });
    }

    private static boolean isRefused(Throwable failure) {
        return StoreException.kindOf(failure) == StoreException.Kind.REFUSED;
    }

    /** Reads the item back. One that is found in a later era was written in this one too late to tell of that era. */
    private CompletableFuture<Long> readBack(byte[] value, long expectedRevision, long era) {
        return store.range(key, Optional.empty()).thenApply(page -> {
            Optional<StoreItem> current =
                    page.items().stream().filter(item -> item.key().equals(key)).findFirst();
            long revision = current.map(StoreItem::revision).orElse(0L);
            if (revision != expectedRevision
                    && StorePosition.eraOf(revision) == era
                    && current.map(item -> Arrays.equals(item.value(), value)).orElse(false)) {
                return revision;
            }
            throw new StoreException(
                    revision == expectedRevision ? StoreException.Kind.UNKNOWN : StoreException.Kind.CONFLICT,
                    "write of " + key + " expecting revision " + expectedRevision
                            + " did not take effect, found revision " + revision);
        });
    }
}
