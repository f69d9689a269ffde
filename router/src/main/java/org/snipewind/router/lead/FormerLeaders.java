package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * The record of the leaders whose leases were ended by others, so that they may act until these leases would have
 * expired. A leader is recorded before its lease is ended, which removes its leader item: whoever finds no leader knows
 * by this record that one may still act, also if the claim for which the lease was ended has failed. Confined to the
 * control event loop.
 */
final class FormerLeaders {

    private final CoordinationStore store;
    private final StoreCache cache;
    private final MemberRecord self;
    private boolean writing;

    FormerLeaders(CoordinationStore store, StoreCache cache, MemberRecord self) {
        this.store = store;
        this.cache = cache;
        this.self = self;
    }

    /** Returns the recorded leaders, except for earlier processes of this instance, which are gone. */
    List<LeaderRecord> others() {
        return recorded().stream()
                .filter(leader -> !leader.member().name().equals(self.name()))
                .toList();
    }

    private List<LeaderRecord> recorded() {
        return cache.item(StoreKeys.FORMER_LEADERS)
                .flatMap(item -> RecordCodec.decodeLeaders(item.value()))
                .orElse(List.of());
    }

    /**
     * Records a leader whose lease is about to be ended.
     *
     * @param leader the leader
     * @return completes once it is recorded; fails if that is not certain
     */
    CompletableFuture<Void> record(LeaderRecord leader) {
        List<LeaderRecord> known = recorded();
        if (known.stream().anyMatch(leader::isSameTerm)) {
            return CompletableFuture.completedFuture(null);
        }
        List<LeaderRecord> extended = new ArrayList<>(known);
        extended.add(leader);
        return write(extended);
    }

    /**
     * Removes the leaders whose rights have expired. One that names the lease of this leader stays: another instance
     * may be about to end that lease.
     *
     * @param ownLeaseId lease of this leader
     */
    void removeExpired(long ownLeaseId) {
        LeaderRecord own = new LeaderRecord(self, ownLeaseId, 0);
        List<LeaderRecord> known = recorded();
        List<LeaderRecord> kept = known.stream().filter(own::isSameTerm).toList();
        if (!writing && kept.size() < known.size()) {
            writing = true;
            write(kept).whenComplete((ignored, failure) -> writing = false);
        }
    }

    private CompletableFuture<Void> write(List<LeaderRecord> leaders) {
        byte[] value = RecordCodec.encodeLeaders(leaders);
        long revision =
                cache.item(StoreKeys.FORMER_LEADERS).map(StoreItem::revision).orElse(0L);
        return store.commit(List.of(new StoreWrite(StoreKeys.FORMER_LEADERS, revision, value, 0)))
                .thenAccept(written -> cache.applyWrite(new StoreItem(StoreKeys.FORMER_LEADERS, value, written, 0)));
    }
}
