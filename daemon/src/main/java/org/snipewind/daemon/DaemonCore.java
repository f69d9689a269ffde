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
import org.snipewind.clients.target.TargetClient;
import org.snipewind.coordination.admission.ShutdownSchedule;
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
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * One incarnation of a daemon: its state, its control loops and its connections to peers.
 *
 * <p>Locks are acquired in the order fleet record, slice tables, target state, budget state. No lock is held during a
 * network call.
 */
public final class DaemonCore implements AutoCloseable {

    private static final int WORKER_THREADS = 4;
    private static final long REPORT_TIMEOUT_MILLIS = 500;

    private final String memberId;
    private final DaemonSettings settings;
    private final MillisClock clock;
    private final EventLog log;
    private final ProcessMetrics metrics;
    private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(WORKER_THREADS);
    private final RecordCache records;
    private final StoreContact contact;
    private final MemberLease lease;
    private final RoleRights rights;
    private final PeerConnections peers;
    private final PeerServer server;
    private final RecordDistributor distributor;
    private final RecordUpdater updater;
    private final RoleRequirements requirements;
    private final LeaseRenewer leaseRenewer;
    private final FailureMonitor failureMonitor;
    private final PoolCoordinator coordinator;
    private final SupervisorRegistry supervisors;
    private final TokenIssuers tokenIssuers;
    private final RoleManager roles;
    private final StoreWatcher watcher;
    private final LostLeaseGroupMonitor lostLeaseGroups;
    private final InstanceListCache instances;
    private final Readiness readiness;
    private final RequestPipeline pipeline;
    private final Function<String, Membership> membershipFactory;
    private Membership membership;

    /**
     * Creates a core; its control loops and listeners start with {@link #start}.
     *
     * @param memberId unique id of this incarnation
     * @param settings settings of the daemon
     * @param clock the clock
     * @param store the platform's key-value service
     * @param targetClients creates the client of a target
     * @param instanceList the platform's list of instances, empty if there is none
     * @param peerSettings settings of the connections to peers
     * @param onRemoved called once if this incarnation was removed from the fleet
     * @param metrics metrics of the daemon
     * @param log the event log
     */
    public DaemonCore(
            String memberId,
            DaemonSettings settings,
            MillisClock clock,
            KeyValueStore store,
            Function<TargetSettings, TargetClient> targetClients,
            Optional<InstanceList> instanceList,
            PeerSettings peerSettings,
            Runnable onRemoved,
            ProcessMetrics metrics,
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
        this.leaseRenewer =
                new LeaseRenewer(memberId, lease, witness, records, updater, distributor, peers, contact, log);
        this.failureMonitor = new FailureMonitor(memberId, clock, witness, records, updater, requirements, peers, log);
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
                targetClients,
                this::sendReport,
                metrics,
                log);
        this.tokenIssuers = new TokenIssuers(clock, records, rights);
        this.roles = new RoleManager(memberId, clock, records, updater, requirements, rights, this::isIdle);
        this.watcher = new StoreWatcher(
                settings.dataCentre(), clock, store, records, updater, distributor, rights, contact, log);
        this.lostLeaseGroups = new LostLeaseGroupMonitor(
                memberId, clock, records, updater, requirements, rights, contact, instances, peers, log);
        this.readiness = new Readiness(settings.dataCentre(), records, contact, lease);
        this.pipeline = new RequestPipeline(
                memberId,
                settings,
                clock,
                records,
                organisations,
                tokenIssuers,
                supervisors,
                peers,
                readiness,
                workers,
                metrics);
        this.server = new PeerServer(
                peerSettings,
                new PeerDispatcher(
                        records, distributor, leaseRenewer, failureMonitor, coordinator, supervisors, tokenIssuers));
        this.membershipFactory = address -> new Membership(
                createMember(address),
                settings.seedAddresses(),
                records,
                updater,
                distributor,
                requirements,
                onRemoved,
                log);
        records.addListener(this::recordChanged);
    }

    /** Starts the listener for peers, then the control loops. */
    public void start() {
        String address = settings.peers().host() + ":" + server.start().getPort();
        membership = membershipFactory.apply(address);
        scheduleLoop(membership::run, 300);
        scheduleLoop(leaseRenewer::sendHeartbeats, FleetTimes.HEARTBEAT_INTERVAL_MILLIS);
        scheduleLoop(leaseRenewer::updateLeaseGroup, 500);
        scheduleLoop(failureMonitor::check, 100);
        scheduleLoop(roles::run, 250);
        scheduleLoop(coordinator::run, 100);
        scheduleLoop(supervisors::run, 50);
        scheduleLoop(watcher::run, 250);
        scheduleLoop(pipeline::run, 20);
        scheduleLoop(lostLeaseGroups::run, 1_000);
        scheduleLoop(instances::refresh, 3_000);
        scheduleLoop(
                new StateChangeLogger(
                        readiness, () -> Set.copyOf(records.fleet().rolesOf(memberId)), log)::logChanges,
                250);
    }

    /**
     * Returns the router of callers' requests.
     *
     * @return the router
     */
    public RequestRouter router() {
        return pipeline.router();
    }

    /**
     * Returns the readiness check of this daemon.
     *
     * @return the readiness check
     */
    public Readiness readiness() {
        return readiness;
    }

    /**
     * Makes the daemon not ready. It goes on serving requests in its roles until it leaves the fleet.
     *
     * @param schedule times of the shutdown
     */
    public void beginShutdown(ShutdownSchedule schedule) {
        readiness.beginShutdown(schedule);
    }

    /**
     * Returns whether the fleet has no other member, so that nobody can take over the roles of this daemon.
     *
     * @return true if this daemon is the only member
     */
    public boolean isOnlyMember() {
        return records.fleet().members().keySet().equals(Set.of(memberId));
    }

    /**
     * Leaves the fleet: stops acting in all roles, waits for the work in flight under them, and hands them over.
     *
     * @param maxWaitMillis maximum wait in milliseconds
     */
    public void leave(long maxWaitMillis) {
        if (isOnlyMember()) {
            readiness.endService();
        }
        records.fleet().rolesOf(memberId).stream()
                .filter(role -> role.startsWith(RoleNames.TARGET_PREFIX))
                .forEach(role -> {
                    rights.relinquish(role);
                    supervisors.stopAdmitting(role.substring(RoleNames.TARGET_PREFIX.length()));
                });
        new ShutdownHandover(memberId, clock, records, updater, requirements, rights, this::isIdle, membership, log)
                .run(maxWaitMillis);
    }

    /**
     * Returns the status of this daemon for operators.
     *
     * @param inFlight number of callers' requests in progress
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

    private Member createMember(String address) {
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
        tokenIssuers.recordsChanged();
        pipeline.recordsChanged();
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

    private void scheduleLoop(Runnable iteration, long delayMillis) {
        workers.scheduleWithFixedDelay(
                () -> {
                    try {
                        iteration.run();
                    } catch (RuntimeException e) {
                        log.write(LogEvent.LOOP_FAILED, "iteration of a control loop failed", e);
                    }
                },
                0,
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    static PeerSettings peerSettings(String memberId, DaemonSettings settings, ProcessMetrics metrics) {
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
