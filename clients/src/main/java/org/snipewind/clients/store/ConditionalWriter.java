package org.snipewind.clients.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Writes records by compare-and-swap and settles a lost answer by reading back the writer id.
 *
 * <p>A read that shows the old version does not settle a lost answer, because the write may still be on its way; the
 * result is then unknown, and the caller repeats the same write, which can take effect only once. A version more than
 * one step above the expected one leaves it unknown too, because this write may have been the step between. The outcome
 * speaks of one call and not of an earlier try of the same write.
 */
public final class ConditionalWriter {

    private final KeyValueStore store;
    private final Function<byte[], String> writerOf;

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param writerOf finds the unique writer id in an encoded record
     */
    public ConditionalWriter(KeyValueStore store, Function<byte[], String> writerOf) {
        this.store = store;
        this.writerOf = writerOf;
    }

    /**
     * Writes a record if the stored version is the expected one.
     *
     * @param key key of the record
     * @param expectedVersion version that must be stored, 0 for no value
     * @param content encoded record with a writer id that no other write has
     * @return the outcome; the future fails only if the writer id can't be read
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The inner future is composed, not ignored.
    public CompletableFuture<WriteOutcome> write(String key, long expectedVersion, byte[] content) {
        String writer = writerOf.apply(content);
        return store.compareAndSwap(key, expectedVersion, content)
                .handle((result, failure) -> failure == null && result.applied()
                        ? CompletableFuture.completedFuture(
                                new WriteOutcome(WriteOutcome.Kind.APPLIED, Optional.empty(), result.version()))
                        : readBack(key, expectedVersion, writer, failure != null))
                .thenCompose(outcome -> outcome);
    }

    private CompletableFuture<WriteOutcome> readBack(
            String key, long expectedVersion, String writer, boolean answerWasLost) {
        return store.get(key).handle((found, failure) -> {
            if (failure != null) {
                // A conflict was certain, but without the newer value the caller has to read it first.
                return unknown();
            }
            long version = found.map(VersionedValue::version).orElse(0L);
            boolean isOwn = found.isPresent()
                    && writer.equals(writerOf.apply(found.get().content()));
            if (isOwn) {
                return new WriteOutcome(WriteOutcome.Kind.APPLIED, Optional.empty(), version);
            }
            if (answerWasLost && version != expectedVersion + 1) {
                return new WriteOutcome(WriteOutcome.Kind.UNKNOWN, found, version);
            }
            return new WriteOutcome(WriteOutcome.Kind.CONFLICT, found, version);
        });
    }

    private static WriteOutcome unknown() {
        return new WriteOutcome(WriteOutcome.Kind.UNKNOWN, Optional.empty(), 0);
    }
}
