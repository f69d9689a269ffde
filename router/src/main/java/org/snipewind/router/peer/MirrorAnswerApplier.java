package org.snipewind.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.StoreCache;

/** Applies the answers of peers to the store cache. Confined to the control event loop. */
final class MirrorAnswerApplier {

    /** A cache that was never confirmed has an age that can't be added to. */
    private static final long MAX_AGE_MILLIS = Long.MAX_VALUE / 2;

    private final StoreCache cache;
    private final MillisClock clock;
    private final RouterEventLog log;

    MirrorAnswerApplier(StoreCache cache, MillisClock clock, RouterEventLog log) {
        this.cache = cache;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Applies an answer.
     *
     * @param knownRevision revision of the cache when the peer was asked
     * @param askedMillis time at which the peer was asked
     * @param response the response, empty if there was none
     */
    void applyAnswer(long knownRevision, long askedMillis, Optional<PeerMessage> response) {
        if (!(response.orElse(null) instanceof MirrorAnswer answer)) {
            return;
        }
        long ageMillis = ageMillis(answer, askedMillis);
        try {
            List<StoreItem> items = answer.items().stream()
                    .map(MirrorItemConverter::toStoreItem)
                    .toList();
            if (answer.whole()) {
                cache.applyPeerSnapshot(answer.revision(), ageMillis, items);
                return;
            }
            List<StoreChanges.Change> changes = new ArrayList<>();
            items.forEach(item -> changes.add(new StoreChanges.Change(item, false)));
            answer.removed()
                    .forEach(item -> changes.add(new StoreChanges.Change(MirrorItemConverter.toStoreItem(item), true)));
            cache.applyPeerDifference(knownRevision, answer.revision(), ageMillis, changes);
        } catch (IllegalArgumentException e) {
            log.write(RouterEvent.TASK_FAILED, () -> "task=apply the store cache of a peer cause=" + e.getMessage());
        }
    }

    /**
     * Returns the age of the peer's cache with the time that the answer may have been on its way. Peers take their age
     * from each other, so an age without that time would stay low for as long as they ask each other.
     */
    private long ageMillis(MirrorAnswer answer, long askedMillis) {
        return Math.min(answer.storeAgeMillis(), MAX_AGE_MILLIS) + clock.nowMillis() - askedMillis;
    }
}
