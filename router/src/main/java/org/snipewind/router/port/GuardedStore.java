package org.snipewind.router.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * A store whose calls fail only through their futures. A call that can't be started, such as for lack of memory, would
 * otherwise end the chain of calls of its caller without a retry.
 */
public final class GuardedStore implements CoordinationStore {

    private final CoordinationStore store;

    /**
     * Guards the calls to a store.
     *
     * @param store the store
     */
    public GuardedStore(CoordinationStore store) {
        this.store = store;
    }

    @Override
    public void setEraListener(LongConsumer listener) {
        store.setEraListener(listener);
    }

    @Override
    public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
        return start(() -> store.range(prefix, after));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        return start(() -> store.watch(prefix, afterRevision, waitMillis));
    }

    @Override
    public CompletableFuture<Long> commit(List<StoreWrite> writes) {
        return start(() -> store.commit(writes));
    }

    @Override
    public CompletableFuture<Long> openLease(long lifetimeMillis) {
        return start(() -> store.openLease(lifetimeMillis));
    }

    @Override
    public CompletableFuture<Void> renewLease(long lease) {
        return start(() -> store.renewLease(lease));
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return start(() -> store.endLease(lease));
    }

    /** Starts a call. The outcome of one that fails to start is unknown, since it is unknown where it failed. */
    private static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            return CompletableFuture.failedFuture(
                    new StoreException(StoreException.Kind.UNKNOWN, "the call failed to start: " + e));
        }
    }
}
