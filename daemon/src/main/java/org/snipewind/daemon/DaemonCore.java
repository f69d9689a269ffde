package org.snipewind.daemon;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.clients.instances.InstanceList;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.status.OrganisationStatus;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.target.TargetEndpoint;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.lease.LeaseWitness;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.entry.OrganisationDirectory;
import org.snipewind.daemon.entry.Readiness;
import org.snipewind.daemon.entry.RequestPipeline;
import org.snipewind.daemon.entry.RequestRouter;
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
import org.snipewind.daemon.fleet.ShutdownHandover;
import org.snipewind.daemon.fleet.StoreWatcher;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordDistributor;
import org.snipewind.daemon.record.RecordNames;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.daemon.record.StoreContact;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.NettyPeerConnections;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.PeerEvent;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.PeerServer;
import org.snipewind.protocol.PeerSettings;
import org.snipewind.protocol.TargetReport;
import org.snipewind.protocol.TargetReportAnswer;
import org.snipewind.router.metrics.RouterMetrics;

/**
 * One incarnation of a daemon: its state, its control loops and its connections to peers. Lock order: fleet record,
 * slice tables, target state, budget state; no lock is held across a network call.
 */
public final class DaemonCore implements AutoCloseable {

    private static final int WORKERS = 4;
    private static final long REPORT_TIMEOUT_MILLIS = 500;

    private final String memberId;
    private final DaemonSettings settings;
    private final MillisClock clock;
    private final EventLog log;
    private final RouterMetrics metrics;
    private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(WORKERS);
    private final RecordCache records;
    private final StoreContact contact;
    private final MemberLease lease;
    private final RoleRights rights;
    private final PeerConnections peers;
    private final PeerServer server;
    private final RecordDistributor distributor;
    private final RecordUpdater updater;
    private final RoleRequirements requirements;
    private final LeaseRenewer leases;
    private final FailureMonitor failures;
    private final PoolCoordinator coordinator;
    private final SupervisorRegistry supervisors;
    private final TokenIssuers keepers;
    private final RoleManager roles;
    private final StoreWatcher watcher;
    private final LostLeaseGroupMonitor lostGroups;
    private final InstanceListCache instances;
    private final Readiness readiness;
    private final RequestPipeline entry;
    private final Function<String, Membership> membershipFactory;
    private Membership membership;

    /**
     * Creates a core; nothing runs before {@link #start}.
     *
     * @param memberId unique id of this incarnation
     * @param settings settings of the daemon
     * @param clock the clock
     * @param store the platform's key-value service
     * @param endpoints opens the connection to a target
     * @param instanceList the platform's list of instances, empty if there is none
     * @param peerSettings settings of the connections to peers
     * @param onRemoved called once if this incarnation is removed from the fleet
     * @param metrics metrics of the daemon
     * @param log the event log
     */
    public DaemonCore(
            String memberId,
            DaemonSettings settings,
            MillisClock clock,
            KeyValueStore store,
            Function<TargetSettings, TargetEndpoint> endpoints,
            Optional<InstanceList> instanceList,
            PeerSettings peerSettings,
            Runnable onRemoved,
            RouterMetrics metrics,
            EventLog log) {
        this.memberId = memberId;
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.records = new RecordCache(clock, log);
        this.contact = new StoreContact(clock);
        this.lease = new MemberLease(clock, FleetTimes.LEASE_LIFETIME_MILLIS);
        this.rights = new RoleRights(memberId, clock, records, lease);
        this.peers = new NettyPeerConnections(peerSettings);
        this.distributor = new RecordDistributor(memberId, records, peers);
        this.updater = new RecordUpdater(memberId, store, records, distributor, contact);
        this.requirements = new RoleRequirements(records);
        LeaseWitness witness = new LeaseWitness(clock, FleetTimes.WITNESS_EXPIRY_MILLIS);
        this.leases = new LeaseRenewer(memberId, lease, witness, records, updater, distributor, peers, contact, log);
        this.failures = new FailureMonitor(memberId, clock, witness, records, updater, requirements, peers, log);
        this.coordinator = new PoolCoordinator(clock, records, updater, rights, log);
        this.instances = new InstanceListCache(instanceList);
        OrganisationDirectory organisations = new OrganisationDirectory(records);
        this.supervisors = new SupervisorRegistry(
                settings,
                clock,
                records,
                rights,
                organisations,
                instances::isLeaving,
                endpoints,
                this::sendReport,
                metrics,
                log);
        this.keepers = new TokenIssuers(clock, records, rights);
        this.roles = new RoleManager(memberId, clock, records, updater, requirements, rights, this::isIdle);
        this.watcher = new StoreWatcher(
                settings.dataCentre(), clock, store, records, updater, distributor, rights, contact, log);
        this.lostGroups = new LostLeaseGroupMonitor(
                memberId, clock, records, updater, requirements, rights, contact, instances, peers, log);
        this.readiness = new Readiness(settings.dataCentre(), records, contact, lease);
        this.entry = new RequestPipeline(
                memberId,
                settings,
                clock,
                records,
                organisations,
                keepers,
                supervisors,
                peers,
                readiness,
                workers,
                metrics);
        this.server = new PeerServer(
                peerSettings,
                new PeerDispatcher(records, distributor, leases, failures, coordinator, supervisors, keepers));
        this.membershipFactory = address -> new Membership(
                member(address), settings.seedAddresses(), records, updater, distributor, requirements, onRemoved, log);
        records.addListener(this::recordChanged);
    }

    /** Opens the peer port and starts the control loops. */
    public void start() {
        String address = settings.peers().host() + ":" + server.start().getPort();
        membership = membershipFactory.apply(address);
        loop(membership::run, 300);
        loop(leases::sendHeartbeats, FleetTimes.HEARTBEAT_INTERVAL_MILLIS);
        loop(leases::updateLeaseGroup, 500);
        loop(failures::check, 100);
        loop(roles::run, 250);
        loop(coordinator::run, 100);
        loop(supervisors::run, 50);
        loop(watcher::run, 250);
        loop(entry::run, 20);
        loop(lostGroups::run, 1_000);
        loop(instances::refresh, 3_000);
        loop(new StateChangeLogger(readiness, () -> Set.copyOf(records.fleet().rolesOf(memberId)), log)::run, 250);
    }

    /**
     * Gives the router of callers' requests.
     *
     * @return the router
     */
    public RequestRouter router() {
        return entry.router();
    }

    /**
     * Gives the readiness of this daemon.
     *
     * @return the readiness check
     */
    public Readiness readiness() {
        return readiness;
    }

    /**
     * Leaves the fleet: stops acting in all roles, waits for their work in flight and gives them away.
     *
     * @param longestMillis longest wait in milliseconds
     */
    public void leave(long longestMillis) {
        readiness.beginShutdown();
        records.fleet().rolesOf(memberId).stream()
                .filter(role -> role.startsWith(RoleNames.TARGET_PREFIX))
                .forEach(role -> {
                    rights.relinquish(role);
                    supervisors.stopAdmitting(role.substring(RoleNames.TARGET_PREFIX.length()));
                });
        new ShutdownHandover(memberId, clock, records, updater, requirements, rights, this::isIdle, membership, log)
                .run(longestMillis);
    }

    /**
     * Describes this daemon for operators.
     *
     * @param inFlight requests of callers in progress
     * @return the status
     */
    public DaemonStatus status(long inFlight) {
        return new DaemonStatus(
                memberId,
                settings.dataCentre(),
                readiness.isReady(),
                records.configuration().map(ConfigurationRevision::revision).orElse(0L),
                clock.nowMillis() - records.configurationSinceMillis(),
                records.fleet().epoch(),
                lease.isValid(),
                contact.ageMillis(),
                inFlight,
                supervisors.statuses(),
                organisationStatuses());
    }

    @Override
    public void close() {
        workers.shutdownNow();
        supervisors.close();
        server.close();
        peers.close();
    }

    private List<OrganisationStatus> organisationStatuses() {
        return records.configuration()
                .map(revision -> revision.configuration().organisations().keySet().stream()
                        .sorted()
                        .map(name -> new OrganisationStatus(
                                name,
                                metrics.counterValue("organisations." + name + ".admitted"),
                                metrics.counterValue("organisations." + name + ".refused")))
                        .toList())
                .orElse(List.of());
    }

    private Member member(String address) {
        return new Member(
                memberId,
                settings.region(),
                settings.dataCentre(),
                address,
                settings.operators().address(),
                List.of());
    }

    private void recordChanged(String name) {
        if (name.equals(RecordNames.CONFIGURATION)) {
            log.write(
                    LogEvent.CONFIGURATION_IN_FORCE,
                    "revision "
                            + records.configuration()
                                    .map(ConfigurationRevision::revision)
                                    .orElse(0L));
        }
        supervisors.recordChanged(name);
        keepers.recordsChanged();
        entry.recordsChanged();
    }

    private CompletableFuture<PeerMessage> sendReport(TargetReport report) {
        Optional<Member> holder = records.fleet().holder(RoleNames.pool(report.pool()));
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(new TargetReportAnswer(false, 0));
        }
        if (holder.get().id().equals(memberId)) {
            return CompletableFuture.completedFuture(coordinator.handleTargetReport(memberId, report));
        }
        return peers.call(holder.get().peerAddress(), report, REPORT_TIMEOUT_MILLIS)
                .exceptionally(failure -> new TargetReportAnswer(false, 0));
    }

    private boolean isIdle(String role) {
        return !role.startsWith(RoleNames.TARGET_PREFIX)
                || supervisors.isIdle(role.substring(RoleNames.TARGET_PREFIX.length()));
    }

    private void loop(Runnable round, long periodMillis) {
        workers.scheduleWithFixedDelay(
                () -> {
                    try {
                        round.run();
                    } catch (RuntimeException e) {
                        log.write(LogEvent.LOOP_FAILED, "round failed", e);
                    }
                },
                0,
                periodMillis,
                TimeUnit.MILLISECONDS);
    }

    static PeerSettings peerSettings(String memberId, DaemonSettings settings, RouterMetrics metrics) {
        Map<PeerEvent, String> names = new EnumMap<>(PeerEvent.class);
        for (PeerEvent event : PeerEvent.values()) {
            names.put(event, "peer." + event.wireName());
        }
        return PeerSettings.of(
                        memberId,
                        settings.peers().host(),
                        settings.peers().port(),
                        settings.secret().getBytes(StandardCharsets.UTF_8))
                .withCounters((event, amount) -> metrics.count(names.get(event), amount));
    }
}
