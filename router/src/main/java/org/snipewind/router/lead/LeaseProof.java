package org.snipewind.router.lead;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreException.Kind;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreEras;
import org.snipewind.router.state.StoreKeys;

/**
 * Shows that the leader's lease exists in a store that was restored from an older copy: the leader item names this
 * process under that lease, and is replaced, on the condition of the read, by one under a new lease. The old lease
 * can't be renewed, since its number may belong to another instance by now. Confined to the control event loop.
 */
final class LeaseProof {

    /**
     * A lease that was shown to exist.
     *
     * @param leaseId the new lease
     * @param requestedAtMillis time at which it was requested
     * @param item the leader item under it
     */
    record Shown(long leaseId, long requestedAtMillis, StoreItem item) {}

    /** Delay between attempts. */
    private static final long RETRY_DELAY_MILLIS = 200;

    private final CoordinationStore store;
    private final StoreEras eras;
    private final MillisClock clock;
    private final MemberRecord self;

    /** Newest era of the store in which the lease is known to exist. */
    private long provenEra;

    /** The lease of an earlier era in whose place this leader has the present one; 0 if there is none. */
    private long replacedLeaseId;

    private boolean inProgress;
    private long nextAttemptMillis;

    /** A lease under which the item may have been written without a response; 0 if there is none. */
    private long unconfirmedLeaseId;

    LeaseProof(CoordinationStore store, StoreEras eras, MillisClock clock, MemberRecord self) {
        this.store = store;
        this.eras = eras;
        this.clock = clock;
        this.self = self;
    }

    /** Records that a term has begun with a leader item at a position. */
    void onTermStart(long position) {
        provenEra = StorePosition.eraOf(position);
        replacedLeaseId = 0;
    }

    /** Returns whether the store may have been restored since the lease was last known to exist. */
    boolean isOutstanding() {
        return provenEra < eras.newestKnown();
    }

    /** Returns whether the lease is to be shown now. */
    boolean isDue(long nowMillis) {
        return !inProgress && nowMillis >= nextAttemptMillis;
    }

    /** Returns whether the present lease was opened in the place of another one. */
    boolean hasReplaced(long leaseId) {
        return replacedLeaseId != 0 && replacedLeaseId == leaseId;
    }

    /** Returns whether the item may be written under a lease although no response has confirmed it. */
    boolean mayHaveWritten(long leaseId) {
        return unconfirmedLeaseId != 0 && unconfirmedLeaseId == leaseId;
    }

    /**
     * Shows that a lease exists.
     *
     * @param leaseId the lease
     * @return the new lease; fails with {@link Kind#LEASE_ENDED} or {@link Kind#CONFLICT} if the lease does not exist
     */
    CompletableFuture<Shown> show(long leaseId) {
        inProgress = true;
        long knownEra = eras.newestKnown();
        return store.range(StoreKeys.LEADER, Optional.empty())
                .thenCompose(page -> findOwnItem(page, leaseId).fold(CompletableFuture::failedFuture, this::replace))
                .whenComplete((shown, failure) -> {
                    inProgress = false;
                    nextAttemptMillis = clock.nowMillis() + RETRY_DELAY_MILLIS;
                    if (failure == null) {
                        replacedLeaseId = leaseId;
                        // Another instance that told of a later era was wrong if the store does not state it.
                        provenEra = Math.max(
                                knownEra, StorePosition.eraOf(shown.item().revision()));
                    }
                });
    }

    private Either<StoreException, StoreItem> findOwnItem(StorePage page, long leaseId) {
        return page.items().stream()
                .filter(item -> item.key().equals(StoreKeys.LEADER))
                .filter(item -> item.lease() == leaseId || mayHaveWritten(item.lease()))
                .filter(item -> RecordCodec.decodeMember(item.value())
                        .filter(self::isSameProcess)
                        .isPresent())
                .findFirst()
                .<Either<StoreException, StoreItem>>map(Either::right)
                .orElseGet(() ->
                        Either.left(new StoreException(Kind.LEASE_ENDED, "the restored store lists no such lease")));
    }

    private CompletableFuture<Shown> replace(StoreItem item) {
        long requestedAtMillis = clock.nowMillis();
        byte[] value = RecordCodec.encode(self);
        return store.openLease(LeaderTimes.LEASE_LIFETIME_MILLIS).thenCompose(newLeaseId -> {
            unconfirmedLeaseId = newLeaseId;
            StoreWrite write = new StoreWrite(StoreKeys.LEADER, item.revision(), value, newLeaseId);
            return store.commit(List.of(write)).thenApply(revision -> {
                unconfirmedLeaseId = 0;
                return new Shown(
                        newLeaseId, requestedAtMillis, new StoreItem(StoreKeys.LEADER, value, revision, newLeaseId));
            });
        });
    }
}
