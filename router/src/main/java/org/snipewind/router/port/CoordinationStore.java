package org.snipewind.router.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store with conditional writes, watches over a prefix and leases; calls fail with {@link
 * StoreException}.
 */
public interface CoordinationStore {

    /**
     * Reads the items below a prefix, a page at a time.
     *
     * @param prefix start of the keys
     * @param after key after which the page begins, empty for the first page
     * @return the page
     */
    CompletableFuture<StorePage> range(String prefix, Optional<String> after);

    /**
     * Waits for changes below a prefix.
     *
     * @param prefix start of the keys
     * @param afterRevision revision up to which changes are known
     * @param waitMillis longest wait
     * @return the changes, none if the wait ended without one
     */
    CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Writes all items, or none if a condition does not hold.
     *
     * @param writes the writes with their conditions
     * @return revision of the items
     */
    CompletableFuture<Long> commit(List<StoreWrite> writes);

    /**
     * Opens a lease.
     *
     * @param lifetimeMillis time after which it ends unless it is renewed
     * @return its number
     */
    CompletableFuture<Long> openLease(long lifetimeMillis);

    /**
     * Renews a lease for its whole lifetime, counted from the arrival of the call.
     *
     * @param lease number of the lease
     * @return completes once it is renewed
     */
    CompletableFuture<Void> renewLease(long lease);

    /**
     * Ends a lease and removes its items; succeeds also if it had ended.
     *
     * @param lease number of the lease
     * @return completes once it has ended
     */
    CompletableFuture<Void> endLease(long lease);
}
