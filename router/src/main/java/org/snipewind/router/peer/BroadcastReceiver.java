package org.snipewind.router.peer;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.RelayAcknowledgement;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;

/**
 * Receives the leader's broadcast, directly or through a relay, and forwards it while this instance is a relay. A relay
 * forwards whatever it receives, from a former leader too, as all deltas contain changes of the store alone. Confined
 * to the control event loop.
 */
final class BroadcastReceiver {

    private final StoreCache cache;
    private final MirrorDeltaApplier applier;
    private final FleetTracker tracker;
    private final MillisClock clock;
    private final ProcessMetrics metrics;
    private final MemberRecord self;
    private final BiConsumer<MirrorDelta, Collection<MemberRecord>> sender;

    /**
     * Creates a receiver.
     *
     * @param cache local copy of the store's items
     * @param tracker provides the instances of this data centre
     * @param clock clock that measures how long a delta is held
     * @param metrics counts what is forwarded
     * @param self this instance
     * @param sender sends a delta to other instances without waiting for responses
     */
    BroadcastReceiver(
            StoreCache cache,
            FleetTracker tracker,
            MillisClock clock,
            ProcessMetrics metrics,
            MemberRecord self,
            BiConsumer<MirrorDelta, Collection<MemberRecord>> sender) {
        this.cache = cache;
        this.applier = new MirrorDeltaApplier(cache);
        this.tracker = tracker;
        this.clock = clock;
        this.metrics = metrics;
        this.self = self;
        this.sender = sender;
    }

    /**
     * Applies a delta and forwards it if it says so.
     *
     * @param delta the delta
     * @return the acknowledgement of a delta that is to be forwarded, empty for others
     */
    Optional<PeerMessage> receive(MirrorDelta delta) {
        if (!delta.forward()) {
            applier.applyDelta(delta);
            return Optional.empty();
        }
        if (!cache.isLoaded()) {
            // This instance does not know the others of its data centre yet.
            return Optional.of(new RelayAcknowledgement(false, clock.nowMillis()));
        }
        MirrorDelta forwarded = delta.forInstance(delta.transitMillis(clock.nowMillis()));
        List<MemberRecord> instances = tracker.view().members().values().stream()
                .filter(member -> member.dataCentre().equals(self.dataCentre()))
                .filter(member -> !member.name().equals(self.name()))
                .toList();
        metrics.count("broadcasts.forwarded");
        metrics.count("broadcasts.forwarded-copies", instances.size());
        sender.accept(forwarded, instances);
        applier.applyDelta(forwarded);
        return Optional.of(new RelayAcknowledgement(true, clock.nowMillis()));
    }
}
