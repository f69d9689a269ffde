package org.snipewind.router.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * The platform's key-value store with conditional writes, prefix watches and leases. Calls fail with {@link
 * StoreException}. Revisions are positions that contain the era of the store, see {@link
 * org.snipewind.coordination.restore.StorePosition}, so they rise even if the store is restored from an older copy.
 */
public interface CoordinationStore {

    /**
     * Sets the listener for restorations of the store.
     *
     * @param listener receives each new era, before the response that told it is processed
     */
    default void setEraListener(LongConsumer listener) {
        // A store that is never restored stays in era 0.
    }

    /**
     * Reads one page of the items whose keys start with a prefix.
     *
     * @param prefix prefix of the keys
     * @param after key after which the page starts, empty for the first page
     * @return the page
     */
    CompletableFuture<StorePage> range(String prefix, Optional<String> after);

    /**
     * Waits for changes of items whose keys start with a prefix.
     *
     * @param prefix prefix of the keys
     * @param afterRevision revision up to which changes are known
     * @param waitMillis longest time to wait
     * @return the changes, none if the time ended without one
     */
    CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Writes all items atomically, or none of them if a condition does not hold.
     *
     * @param writes the writes with their conditions
     * @return revision of the written items
     */
    CompletableFuture<Long> commit(List<StoreWrite> writes);

    /**
     * Opens a lease.
     *
     * @param lifetimeMillis time after which the lease expires unless it is renewed
     * @return number of the lease
     */
    CompletableFuture<Long> openLease(long lifetimeMillis);

    /**
     * Renews a lease for its full lifetime, counted from the arrival of the call at the store.
     *
     * @param lease number of the lease
     * @return completes once the lease is renewed
     */
    CompletableFuture<Void> renewLease(long lease);

    /**
     * Ends a lease and removes its items; also succeeds if the lease has expired already.
     *
     * @param lease number of the lease
     * @return completes once the lease has ended
     */
    CompletableFuture<Void> endLease(long lease);
}
