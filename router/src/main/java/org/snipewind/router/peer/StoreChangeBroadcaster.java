package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.lead.LeaderElection;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.KeyTablePatch;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Broadcasts the changes of the store to the other instances while this one leads, so that a change costs one call to
 * the store instead of one by each instance. The changes come from the store alone, so a former leader that does not
 * know of its successor broadcasts nothing wrong. Confined to the control event loop.
 */
public final class StoreChangeBroadcaster {

    /** Interval of the broadcasts that confirm to the other instances that their caches are complete. */
    private static final long CONFIRMATION_INTERVAL_MILLIS = 400;

    private final PeerNetwork network;
    private final RelayedBroadcast relayedBroadcast;
    private final StoreCache cache;
    private final FleetTracker tracker;
    private final LeaderElection leaderElection;
    private final EventLoop loop;
    private final RouterEventLog log;

    /** The latest key table item that was broadcast for each pool, by key. */
    private final Map<String, StoreItem> sentTables = new HashMap<>();

    /**
     * Creates a broadcaster that is not started.
     *
     * @param network connections to the other instances
     * @param cache local copy of the store's items
     * @param tracker provides the current fleet view
     * @param leaderElection decides whether this instance broadcasts
     * @param loop the control event loop
     * @param log the event log
     */
    public StoreChangeBroadcaster(
            PeerNetwork network,
            StoreCache cache,
            FleetTracker tracker,
            LeaderElection leaderElection,
            EventLoop loop,
            RouterEventLog log) {
        this.network = network;
        this.relayedBroadcast = network.newRelayedBroadcast(this::confirmation);
        this.cache = cache;
        this.tracker = tracker;
        this.leaderElection = leaderElection;
        this.loop = loop;
        this.log = log;
    }

    /** Starts to broadcast changes whenever this instance leads. */
    public void start() {
        cache.setChangeForwarding(leaderElection::isLeading, this::broadcastChanges);
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "confirmation of the broadcast", this::broadcastConfirmation),
                CONFIRMATION_INTERVAL_MILLIS,
                CONFIRMATION_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void broadcastConfirmation() {
        if (leaderElection.isLeading()) {
            relayedBroadcast.broadcast(confirmation());
        } else {
            sentTables.clear();
            relayedBroadcast.clear();
        }
    }

    private MirrorDelta confirmation() {
        return new MirrorDelta(
                cache.revision(), cache.revision(), cache.confirmationAgeMillis(), List.of(), List.of(), List.of());
    }

    /**
     * Announces at once that this instance leads, so that the other instances request tokens from it. This goes to each
     * instance directly, since a lost relay would delay it.
     */
    public void onTermStart() {
        cache.item(StoreKeys.LEADER)
                .ifPresent(item -> network.broadcast(
                        deltaOf(item.revision(), item.revision(), List.of(new StoreChanges.Change(item, false))),
                        tracker.view().members().values()));
    }

    /**
     * Announces that changes may be missing from now on, so that the other instances watch the store themselves at
     * once. Called at the end of a term, which is itself a change that this instance can't broadcast.
     */
    public void onTermEnd() {
        long nextRevision = cache.revision() + 1;
        sentTables.clear();
        network.broadcast(
                new MirrorDelta(
                        nextRevision, nextRevision, cache.confirmationAgeMillis(), List.of(), List.of(), List.of()),
                tracker.view().members().values());
    }

    private void broadcastChanges(long fromRevision, long toRevision, List<StoreChanges.Change> changes) {
        relayedBroadcast.broadcast(deltaOf(fromRevision, toRevision, changes));
    }

    private MirrorDelta deltaOf(long fromRevision, long toRevision, List<StoreChanges.Change> changes) {
        List<MirrorAnswer.Item> written = new ArrayList<>();
        List<MirrorAnswer.Item> removed = new ArrayList<>();
        List<MirrorDelta.Patch> patches = new ArrayList<>();
        for (StoreChanges.Change change : changes) {
            Optional<MirrorDelta.Patch> patch = patchFor(change);
            if (patch.isPresent()) {
                patches.add(patch.get());
            } else {
                (change.removed() ? removed : written).add(MirrorItemConverter.toMessage(change.item()));
            }
        }
        return new MirrorDelta(fromRevision, toRevision, cache.confirmationAgeMillis(), written, removed, patches);
    }

    private Optional<MirrorDelta.Patch> patchFor(StoreChanges.Change change) {
        StoreItem item = change.item();
        if (!item.key().startsWith(StoreKeys.KEY_TABLE_PREFIX) || change.removed()) {
            return Optional.empty();
        }
        return Optional.ofNullable(sentTables.put(item.key(), item))
                // After a restoration of the store, the other instances have read the table again.
                .filter(base -> StorePosition.eraOf(base.revision()) == StorePosition.eraOf(item.revision()))
                .flatMap(base -> KeyTablePatch.diff(base.value(), item.value())
                        .map(content -> new MirrorDelta.Patch(item.key(), base.revision(), item.revision(), content)));
    }
}
