package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.lead.LeaderElection;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.KeyTablePatch;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Passes the changes of the store on to the other instances while this one leads, so that a change costs one call to
 * the store and not one of each instance. Changes come from the store alone, so a former leader that does not know of
 * its successor does no harm. Belongs to the control loop.
 */
public final class StoreChangeBroadcaster {

    /** Without changes, the other instances are told at this interval that their copies are complete. */
    private static final long CONFIRM_MILLIS = 400;

    private final PeerNetwork network;
    private final StoreCache mirror;
    private final FleetTracker tracker;
    private final LeaderElection leadership;
    private final EventLoop loop;

    /** The newest table of each pool that the others were sent. */
    private final Map<String, StoreItem> sentTables = new HashMap<>();

    /**
     * Creates a feed that does nothing yet.
     *
     * @param network connections to the other instances
     * @param mirror the copy of the store
     * @param tracker the view of the fleet
     * @param leadership tells whether this instance feeds the others
     * @param loop the control loop
     */
    public StoreChangeBroadcaster(
            PeerNetwork network, StoreCache mirror, FleetTracker tracker, LeaderElection leadership, EventLoop loop) {
        this.network = network;
        this.mirror = mirror;
        this.tracker = tracker;
        this.leadership = leadership;
        this.loop = loop;
    }

    /** Starts to feed the others whenever this instance leads. */
    public void start() {
        mirror.setChangeForwarding(leadership::isLeading, this::changed);
        loop.scheduleAtFixedRate(this::confirm, CONFIRM_MILLIS, CONFIRM_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void confirm() {
        if (leadership.isLeading()) {
            changed(mirror.revision(), mirror.revision(), List.of());
        } else {
            sentTables.clear();
        }
    }

    /** Tells the others at once that this instance leads, so that they ask it for tokens. */
    public void onTermStart() {
        mirror.item(StoreKeys.LEADER)
                .ifPresent(item ->
                        changed(item.revision(), item.revision(), List.of(new StoreChanges.Change(item, false))));
    }

    /**
     * Tells the others that changes may be missing from now on, so that they watch the store themselves at once. Called
     * at the end of a term, which is itself a change that this instance can't pass on.
     */
    public void onTermEnd() {
        long next = mirror.revision() + 1;
        sentTables.clear();
        network.broadcast(
                new MirrorDelta(next, next, mirror.confirmationAgeMillis(), List.of(), List.of(), List.of()),
                tracker.view().members().values());
    }

    private void changed(long fromRevision, long toRevision, List<StoreChanges.Change> changes) {
        List<MirrorAnswer.Item> written = new ArrayList<>();
        List<MirrorAnswer.Item> removed = new ArrayList<>();
        List<MirrorDelta.Patch> patches = new ArrayList<>();
        for (StoreChanges.Change change : changes) {
            Optional<MirrorDelta.Patch> patch = patch(change);
            if (patch.isPresent()) {
                patches.add(patch.get());
            } else {
                (change.removed() ? removed : written).add(MirrorItemConverter.toMessage(change.item()));
            }
        }
        MirrorDelta delta =
                new MirrorDelta(fromRevision, toRevision, mirror.confirmationAgeMillis(), written, removed, patches);
        network.broadcast(delta, tracker.view().members().values());
    }

    private Optional<MirrorDelta.Patch> patch(StoreChanges.Change change) {
        StoreItem item = change.item();
        if (!item.key().startsWith(StoreKeys.KEY_TABLE_PREFIX) || change.removed()) {
            return Optional.empty();
        }
        return Optional.ofNullable(sentTables.put(item.key(), item))
                .flatMap(base -> KeyTablePatch.diff(base.value(), item.value())
                        .map(content -> new MirrorDelta.Patch(item.key(), base.revision(), item.revision(), content)));
    }
}
