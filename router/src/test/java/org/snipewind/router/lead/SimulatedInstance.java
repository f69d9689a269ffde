package org.snipewind.router.lead;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.Membership;
import org.snipewind.router.state.StoreCache;

/** The control loop of one instance in simulated time: its copy of the store, its election and its leader's duties. */
final class SimulatedInstance {

    private static final long TICK_INTERVAL_MILLIS = 50;

    /** As long as the store has not confirmed the cache for this time, peers are asked. */
    private static final long PEER_SNAPSHOT_AFTER_MILLIS = 1_300;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RestorableStoreClient client;
    private final FleetTracker tracker;
    private final StoreCache cache;
    private final LeaderService service;
    private final LeaderElection election;
    private final MemberRecord self;
    private final Random random;
    private final TargetsInReach targetsInReach;
    private long highestVersion;

    SimulatedInstance(
            String name,
            String bootId,
            RestorableStore store,
            SimulatedTargets targets,
            StoreItemParser parser,
            ManualMillisClock clock,
            Random random) {
        this.random = random;
        channel.freezeTime();
        EventLoop loop = channel.eventLoop();
        RouterEventLog log = new RouterEventLog(name, clock);
        self = new MemberRecord(name, bootId, "127.0.0.1:1", "dc", 1);
        client = new RestorableStoreClient(store, loop, random);
        tracker = new FleetTracker(parser, clock, log);
        cache = new StoreCache(client, loop, clock, log, tracker);
        tracker.setReconnectAgeSupplier(cache::reconnectAgeMillis);
        Membership membership = new Membership(client, cache, loop, log, self);
        targetsInReach = new TargetsInReach(targets);
        service = new LeaderService(client, cache, tracker, targetsInReach, clock, log, self);
        election = new LeaderElection(
                client, cache, tracker, loop, clock, log, self, service::onTermStart, service::onTermEnd);
        service.setLeaderElection(election);
        cache.start();
        membership.start();
        election.start();
        loop.scheduleAtFixedRate(service::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                tracker::removeExpiredTargets, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Lets the loop run for a time; the clock has advanced by it already. */
    void run(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        long version = version();
        if (version < highestVersion) {
            throw new AssertionError(
                    self.name() + " went back from configuration " + highestVersion + " to " + version);
        }
        highestVersion = version;
    }

    long version() {
        return tracker.view().configuration().map(RoutingConfiguration::version).orElse(0L);
    }

    /** Sets how former leaders are asked to end their terms. */
    void setPeers(Function<MemberRecord, Optional<SimulatedInstance>> peers) {
        election.setFormerLeaderCallbacks(
                former -> CompletableFuture.completedFuture(peers.apply(former.member())
                        .map(peer -> peer.election.stepDown(former.leaseId()))
                        .orElse(false)),
                service::onFormerLeaderEnded);
    }

    /** Takes over the copy of a peer unless the store confirms the own one. */
    void askPeer(SimulatedInstance peer) {
        if (cache.confirmationAgeMillis() < PEER_SNAPSHOT_AFTER_MILLIS || !peer.cache.isLoaded()) {
            return;
        }
        applyCopyOf(peer);
    }

    void applyCopyOf(SimulatedInstance peer) {
        long known = cache.revision();
        Optional<StoreChanges> changes = known >= peer.cache.revision()
                ? Optional.of(new StoreChanges(List.of(), peer.cache.revision()))
                : peer.cache.changesSince(known);
        if (changes.isPresent()) {
            cache.applyPeerDifference(
                    known,
                    peer.cache.revision(),
                    peer.cache.ageMillis(),
                    changes.get().changes());
        } else {
            cache.applyPeerSnapshot(peer.cache.revision(), peer.cache.ageMillis(), peer.cache.snapshot());
        }
    }

    /** Replaces the leader that this instance knows, as if no instance reached it. */
    void replaceLeader() {
        tracker.view().leader().ifPresent(leader -> election.replaceLeader(leader.member()));
    }

    /** Cuts this instance off from a target, which others reach. */
    void setCutFromTarget(String target) {
        targetsInReach.setCut(target);
    }

    /** Stops the election of this instance; if it leads, it ends its lease. */
    void stop() {
        election.stop();
    }

    /** Returns what a request for one token gets. */
    BudgetGrant requestToken() {
        return service.issueTokens(new BudgetRequest("organisation", 1, 1_000));
    }

    /** Tells this instance that the listed former leader has ended its term. */
    void confirmFormerLeaderEnded() {
        service.onFormerLeaderEnded();
    }

    boolean isLeading() {
        return election.isLeading();
    }

    MemberRecord member() {
        return self;
    }

    RestorableStoreClient client() {
        return client;
    }

    FleetTracker tracker() {
        return tracker;
    }

    StoreCache cache() {
        return cache;
    }

    long eraOfCache() {
        return StorePosition.eraOf(cache.revision());
    }
}
