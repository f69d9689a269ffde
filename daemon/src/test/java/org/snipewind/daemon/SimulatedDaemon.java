package org.snipewind.daemon;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.lease.LeaseWitness;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.entry.OrganisationDirectory;
import org.snipewind.daemon.entry.Readiness;
import org.snipewind.daemon.entry.TokenIssuers;
import org.snipewind.daemon.fleet.FailureMonitor;
import org.snipewind.daemon.fleet.FleetTimes;
import org.snipewind.daemon.fleet.InstanceListCache;
import org.snipewind.daemon.fleet.LeaseRenewer;
import org.snipewind.daemon.fleet.LostLeaseGroupMonitor;
import org.snipewind.daemon.fleet.Membership;
import org.snipewind.daemon.fleet.PoolCoordinator;
import org.snipewind.daemon.fleet.RoleManager;
import org.snipewind.daemon.fleet.RoleRequirements;
import org.snipewind.daemon.fleet.RoleRights;
import org.snipewind.daemon.fleet.StoreWatcher;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordDistributor;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.daemon.record.StoreContact;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.settings.Endpoint;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.daemon.settings.RequestLimits;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.PeerHandler;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.TargetReport;
import org.snipewind.protocol.TargetReportAnswer;
import org.snipewind.router.metrics.ProcessMetrics;

/** The control classes of one daemon on a manual clock; messages that arrive during a pause are kept until its end. */
final class SimulatedDaemon {

    final RecordCache records;
    final StoreContact contact;
    final MemberLease lease;
    final RoleRights rights;
    final SupervisorRegistry supervisors;
    final LeaseWitness witness;
    final PeerHandler dispatcher;
    final Readiness readiness;
    final ProcessMetrics metrics = new ProcessMetrics();
    boolean isRemoved;
    boolean isDead;

    private final String id;
    private final MillisClock clock;
    private final long startMillis;
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private final PeerConnections peers;
    private final LeaseRenewer leaseRenewer;
    private final FailureMonitor failureMonitor;
    private final PoolCoordinator coordinator;
    private final RoleManager roles;
    private final StoreWatcher watcher;
    private final LostLeaseGroupMonitor lostLeaseGroupMonitor;
    private final Membership membership;
    private boolean paused;

    SimulatedDaemon(String id, String dataCentre, SimulatedFleet fleet, List<String> seeds) {
        this.id = id;
        this.clock = fleet.clock;
        this.startMillis = clock.nowMillis();
        EventLog log = new EventLog(id);
        DaemonSettings settings = settings(id, dataCentre, seeds);
        KeyValueStore store = fleet.store.clientOf(this);
        peers = fleet.peersOf(this);
        records = new RecordCache(clock, log);
        contact = new StoreContact(clock);
        lease = new MemberLease(clock, FleetTimes.LEASE_LIFETIME_MILLIS);
        rights = new RoleRights(id, clock, records, lease);
        RecordDistributor distributor = new RecordDistributor(id, records, peers);
        RecordUpdater updater = new RecordUpdater(id, store, records, distributor, contact);
        RoleRequirements requirements = new RoleRequirements(records);
        witness = new LeaseWitness(clock, FleetTimes.WITNESS_EXPIRY_MILLIS);
        leaseRenewer = new LeaseRenewer(id, lease, witness, records, updater, distributor, peers, contact, log);
        failureMonitor = new FailureMonitor(id, clock, witness, records, updater, requirements, peers, log);
        coordinator = new PoolCoordinator(clock, records, updater, rights, log);
        InstanceListCache instances = new InstanceListCache(Optional.empty());
        supervisors = new SupervisorRegistry(
                settings,
                clock,
                records,
                rights,
                new OrganisationDirectory(records),
                target -> false,
                target -> fleet.targets.get(target.address()).clientFor(this),
                this::sendReport,
                metrics,
                log);
        roles = new RoleManager(id, clock, records, updater, requirements, rights, this::isIdle);
        watcher = new StoreWatcher(dataCentre, clock, store, records, updater, distributor, rights, contact, log);
        lostLeaseGroupMonitor = new LostLeaseGroupMonitor(
                id, clock, records, updater, requirements, rights, contact, instances, peers, log);
        readiness = new Readiness(dataCentre, records, contact, lease);
        dispatcher = new PeerDispatcher(
                records,
                distributor,
                leaseRenewer,
                failureMonitor,
                coordinator,
                supervisors,
                new TokenIssuers(clock, records, rights));
        Member self = new Member(id, "region", dataCentre, id, id, List.of());
        membership =
                new Membership(self, seeds, records, updater, distributor, requirements, () -> isRemoved = true, log);
        records.addListener(supervisors::recordChanged);
    }

    String id() {
        return id;
    }

    boolean isRunning() {
        return !isDead && !paused;
    }

    void pause() {
        paused = true;
    }

    /** Ends a pause; as in a resumed process, threads may run before any buffered message is read. */
    void resume() {
        paused = false;
        while (!inbox.isEmpty()) {
            inbox.remove().run();
        }
    }

    void deliver(Runnable message) {
        if (paused) {
            inbox.add(message);
        } else if (!isDead) {
            message.run();
        }
    }

    CompletableFuture<Either<Refusal, TargetResponse>> submit(ForwardRequest request) {
        return supervisors.submit(request);
    }

    /** Runs the control loops that are due at the present time. */
    void runDueLoops() {
        long ageMillis = clock.nowMillis() - startMillis;
        runIfDue(ageMillis, 300, membership::run);
        runIfDue(ageMillis, 200, leaseRenewer::sendHeartbeats);
        runIfDue(ageMillis, 500, leaseRenewer::updateLeaseGroup);
        runIfDue(ageMillis, 100, failureMonitor::check);
        runIfDue(ageMillis, 250, roles::run);
        runIfDue(ageMillis, 100, coordinator::run);
        runIfDue(ageMillis, 50, supervisors::run);
        runIfDue(ageMillis, 250, watcher::run);
        runIfDue(ageMillis, 1_000, lostLeaseGroupMonitor::run);
    }

    private void runIfDue(long ageMillis, long periodMillis, Runnable round) {
        if (isRunning() && !isRemoved && ageMillis % periodMillis == 0) {
            round.run();
        }
    }

    private CompletableFuture<PeerMessage> sendReport(TargetReport report) {
        Optional<Member> holder = records.fleet().holder(RoleNames.pool(report.pool()));
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(new TargetReportAnswer(false, 0));
        }
        if (holder.get().id().equals(id)) {
            return CompletableFuture.completedFuture(coordinator.handleTargetReport(id, report));
        }
        return peers.call(holder.get().peerAddress(), report, 500)
                .exceptionally(failure -> new TargetReportAnswer(false, 0));
    }

    private boolean isIdle(String role) {
        return !role.startsWith(RoleNames.TARGET_PREFIX)
                || supervisors.isIdle(role.substring(RoleNames.TARGET_PREFIX.length()));
    }

    private static DaemonSettings settings(String id, String dataCentre, List<String> seeds) {
        Endpoint unused = new Endpoint("127.0.0.1", 0);
        return new DaemonSettings(
                id,
                "region",
                dataCentre,
                unused,
                unused,
                unused,
                "secret",
                Optional.empty(),
                List.of(),
                Optional.empty(),
                seeds,
                RequestLimits.DEFAULT,
                PolicySettings.DEFAULT,
                1_000,
                true);
    }
}
