package org.snipewind.router.state;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.GuardedStore;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;

/** Registers this instance in the store under a lease and renews it. Confined to the control event loop. */
public final class Membership {

    /** Lets the record outlive a short outage of the store, and removes it soon after the instance is gone. */
    private static final long LEASE_LIFETIME_MILLIS = 6_000;

    /** Renewals also show that the store is reachable, so several fall into the lifetime of the lease. */
    private static final long RENEWAL_INTERVAL_MILLIS = 1_000;

    private static final long RETRY_DELAY_MILLIS = 400;

    private final CoordinationStore store;
    private final StoreCache cache;
    private final EventLoop loop;
    private final RouterEventLog log;
    private final MemberRecord self;
    private long leaseId;

    /** Era of the store in which the lease was opened; in another one, its number may belong to another lease. */
    private long leaseEra;

    private boolean left;

    /**
     * Creates a membership that is not registered yet.
     *
     * @param store the store
     * @param cache local copy of the store's items
     * @param loop the control event loop
     * @param log the event log
     * @param self this instance
     */
    public Membership(
            CoordinationStore store, StoreCache cache, EventLoop loop, RouterEventLog log, MemberRecord self) {
        this.store = new GuardedStore(store);
        this.cache = cache;
        this.loop = loop;
        this.log = log;
        this.self = self;
    }

    /** Starts to register this instance, once the store cache is loaded. */
    public void start() {
        loop.execute(this::join);
    }

    /** Ends the registration of this instance. If the store does not respond, the record expires with its lease. */
    public void leave() {
        left = true;
        if (leaseId != 0 && leaseEra == cache.eras().era()) {
            store.endLease(leaseId).whenComplete((ignored, failure) -> {
                if (failure != null) {
                    logFailure("end of the membership lease", failure);
                }
            });
        }
    }

    private void join() {
        if (left) {
            return;
        }
        // The condition of the write is read from the cache, so a cache of an earlier era would make it fail.
        if (!cache.isLoaded() || !cache.isOfPresentEra()) {
            loop.schedule(this::join, RETRY_DELAY_MILLIS / 4, TimeUnit.MILLISECONDS);
            return;
        }
        store.openLease(LEASE_LIFETIME_MILLIS).thenCompose(this::writeRecord).whenComplete((ignored, failure) -> {
            if (failure == null) {
                cache.recordContact();
                loop.schedule(this::renewLease, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                logFailure("join", failure);
                loop.schedule(this::join, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private CompletableFuture<Long> writeRecord(long openedLeaseId) {
        leaseId = openedLeaseId;
        leaseEra = cache.eras().era();
        String key = StoreKeys.MEMBER_PREFIX + self.name();
        long expectedRevision = cache.item(key).map(StoreItem::revision).orElse(0L);
        return store.commit(List.of(new StoreWrite(key, expectedRevision, RecordCodec.encode(self), openedLeaseId)));
    }

    private void renewLease() {
        if (left) {
            return;
        }
        if (leaseEra < cache.eras().era()) {
            join();
            return;
        }
        store.renewLease(leaseId).whenComplete((ignored, failure) -> {
            if (failure == null) {
                cache.recordContact();
                loop.schedule(this::renewLease, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            } else if (StoreException.kindOf(failure) == StoreException.Kind.LEASE_ENDED) {
                cache.recordContact();
                join();
            } else {
                logFailure("renewal of the membership lease", failure);
                loop.schedule(this::renewLease, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void logFailure(String call, Throwable failure) {
        log.write(RouterEvent.STORE_CALL_FAILED, () -> "call=" + call + " cause=" + failure.getMessage());
    }
}
