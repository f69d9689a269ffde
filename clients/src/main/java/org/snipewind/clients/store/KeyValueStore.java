package org.snipewind.clients.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's key-value store, which supports compare-and-swap and watches. */
public interface KeyValueStore extends AutoCloseable {

    /**
     * Reads a value.
     *
     * @param key key of the value
     * @return the value, or empty if there is none; fails with {@link StoreException} if the store does not respond
     */
    CompletableFuture<Optional<VersionedValue>> get(String key);

    /**
     * Writes a value if the stored version is the expected one.
     *
     * @param key key of the value
     * @param expectedVersion version that must be stored, 0 for no value
     * @param content the new value
     * @return the result; fails with {@link StoreException} if it is not known whether the write took effect
     */
    CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content);

    /**
     * Waits for a version of a value that is newer than the known one.
     *
     * @param key key of the value
     * @param knownVersion version that the caller already has
     * @param waitMillis maximum wait in milliseconds
     * @return the newer value, or empty if there was none within the wait; fails with {@link StoreException}
     */
    CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis);

    @Override
    void close();
}
