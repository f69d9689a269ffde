package org.snipewind.router.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A store that can be read but never responds to other calls. */
public class UnresponsiveStore implements CoordinationStore {

    /** Revision of the store, which has no items. */
    public static final long REVISION = 7;

    @Override
    public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
        return CompletableFuture.completedFuture(new StorePage(List.of(), false, REVISION));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> commit(List<StoreWrite> writes) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> openLease(long lifetimeMillis) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> renewLease(long lease) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return new CompletableFuture<>();
    }
}
