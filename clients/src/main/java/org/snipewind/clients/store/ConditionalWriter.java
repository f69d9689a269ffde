package org.snipewind.clients.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Writes records by compare-and-swap and, if the store's response is lost, reads the record back to find out whether
 * the write took effect: it did if the stored record has the writer id of the write.
 *
 * <p>If the read returns the old version, the outcome remains unknown, because the write may still be in flight; the
 * caller then retries the same write, which can take effect only once. If the read returns a version more than one
 * above the expected version, the outcome is unknown too, because this write may have created a version in between. The
 * outcome describes one call and not an earlier attempt of the same write.
 */
public final class ConditionalWriter {

    private final KeyValueStore store;
    private final Function<byte[], String> writerIdOf;

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param writerIdOf extracts the unique writer id from an encoded record
     */
    public ConditionalWriter(KeyValueStore store, Function<byte[], String> writerIdOf) {
        this.store = store;
        this.writerIdOf = writerIdOf;
    }

    /**
     * Writes a record if the stored version is the expected one.
     *
     * @param key key of the record
     * @param expectedVersion version that must be stored, 0 for no value
     * @param content encoded record with a writer id that no other write uses
     * @return the outcome; the future fails only if the writer id of a stored record cannot be extracted
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The inner future is composed, not ignored.
    public CompletableFuture<WriteOutcome> write(String key, long expectedVersion, byte[] content) {
        String writerId = writerIdOf.apply(content);
        return store.compareAndSwap(key, expectedVersion, content)
                .handle((result, failure) -> failure == null && result.applied()
                        ? CompletableFuture.completedFuture(
                                new WriteOutcome(WriteOutcome.Kind.APPLIED, Optional.empty(), result.version()))
                        : readBack(key, expectedVersion, writerId, failure != null))
                .thenCompose(outcome -> outcome);
    }

    private CompletableFuture<WriteOutcome> readBack(
            String key, long expectedVersion, String writerId, boolean isResponseLost) {
        return store.get(key).handle((found, failure) -> {
            if (failure != null) {
                // Also after a certain conflict: the newer value could not be read, so the caller must read it first.
                return unknown();
            }
            long version = found.map(VersionedValue::version).orElse(0L);
            boolean isOwn = found.isPresent()
                    && writerId.equals(writerIdOf.apply(found.get().content()));
            if (isOwn) {
                return new WriteOutcome(WriteOutcome.Kind.APPLIED, Optional.empty(), version);
            }
            if (isResponseLost && version != expectedVersion + 1) {
                return new WriteOutcome(WriteOutcome.Kind.UNKNOWN, found, version);
            }
            return new WriteOutcome(WriteOutcome.Kind.CONFLICT, found, version);
        });
    }

    private static WriteOutcome unknown() {
        return new WriteOutcome(WriteOutcome.Kind.UNKNOWN, Optional.empty(), 0);
    }
}
