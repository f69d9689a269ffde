package org.snipewind.router.state;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;

/** Lists this instance in the store under a lease; belongs to the control loop. */
public final class Membership {

    /** The entry outlives short outages of the store and is gone soon after the instance is. */
    private static final long LEASE_MILLIS = 6_000;

    /** The renewals also show that the store answers, so several fall into a lease. */
    private static final long RENEW_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 400;

    private final CoordinationStore store;
    private final StoreCache mirror;
    private final EventLoop loop;
    private final RouterEventLog log;
    private final MemberRecord self;
    private long lease;
    private boolean ended;

    /**
     * Creates a membership that is not listed yet.
     *
     * @param store the store
     * @param mirror the copy of the store
     * @param loop the control loop
     * @param log the log
     * @param self this instance
     */
    public Membership(
            CoordinationStore store, StoreCache mirror, EventLoop loop, RouterEventLog log, MemberRecord self) {
        this.store = store;
        this.mirror = mirror;
        this.loop = loop;
        this.log = log;
        this.self = self;
    }

    /** Starts to list this instance. */
    public void start() {
        loop.execute(this::join);
    }

    /** Removes this instance from the list, as far as the store answers. */
    public void leave() {
        ended = true;
        if (lease != 0) {
            store.endLease(lease).whenComplete((done, failure) -> {
                if (failure != null) {
                    failed("end of the membership lease", failure);
                }
            });
        }
    }

    private void join() {
        if (ended) {
            return;
        }
        if (!mirror.isLoaded()) {
            loop.schedule(this::join, RETRY_MILLIS / 4, TimeUnit.MILLISECONDS);
            return;
        }
        store.openLease(LEASE_MILLIS).thenCompose(this::write).whenComplete((done, failure) -> {
            if (failure == null) {
                mirror.recordContact();
                loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                failed("join", failure);
                loop.schedule(this::join, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private CompletableFuture<Long> write(long opened) {
        lease = opened;
        String key = StoreKeys.MEMBER_PREFIX + self.name();
        long expected = mirror.item(key).map(StoreItem::revision).orElse(0L);
        return store.commit(List.of(new StoreWrite(key, expected, RecordCodec.encode(self), opened)));
    }

    private void renew() {
        if (ended) {
            return;
        }
        store.renewLease(lease).whenComplete((done, failure) -> {
            if (failure == null) {
                mirror.recordContact();
                loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
            } else if (StoreException.kindOf(failure) == StoreException.Kind.LEASE_ENDED) {
                mirror.recordContact();
                join();
            } else {
                failed("renewal of the membership lease", failure);
                loop.schedule(this::renew, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void failed(String call, Throwable failure) {
        log.write(RouterEvent.STORE_CALL_FAILED, () -> "call=" + call + " cause=" + failure.getMessage());
    }
}
