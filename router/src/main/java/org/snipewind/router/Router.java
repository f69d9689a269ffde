package org.snipewind.router;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipewind.coordination.admission.ShutdownSchedule;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.coordination.election.CandidatePriority;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.http.OutboundHttpClient;
import org.snipewind.router.http.UnsolicitedBytesReporter;
import org.snipewind.router.lead.LeaderElection;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.path.CallerServer;
import org.snipewind.router.path.ClientResources;
import org.snipewind.router.path.OrganisationRateLimiter;
import org.snipewind.router.path.RoutingContext;
import org.snipewind.router.path.SharedRoutingState;
import org.snipewind.router.peer.LeaderClient;
import org.snipewind.router.peer.PeerNetwork;
import org.snipewind.router.peer.RolloutReporter;
import org.snipewind.router.peer.StoreChangeBroadcaster;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.HeaderCodec;
import org.snipewind.router.port.KeyOwnershipClient;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.rollout.RolloutService;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.Membership;
import org.snipewind.router.state.StoreCache;

/** A running instance of the router: creates its components, starts them and stops them in order. */
public final class Router {

    /** Interval of the periodic tasks of the leader, short because ownership requests to targets wait for them. */
    private static final long LEADER_TICK_INTERVAL_MILLIS = 50;

    /** Interval of the periodic tasks of other instances. */
    private static final long TICK_INTERVAL_MILLIS = 200;

    /**
     * Time until the load balancer has removed an instance that is not ready, which takes two failed checks one second
     * apart. Idle connections may be closed only after that.
     */
    private static final long LOAD_BALANCER_REMOVAL_MILLIS = 2_300;

    /** Fraction of the heap for responses; connections, the store cache and the garbage collector need the rest. */
    private static final double RESPONSE_MEMORY_FRACTION = 0.25;

    /** Fraction of the heap for the bodies of requests. */
    private static final double REQUEST_MEMORY_FRACTION = 0.25;

    private static final long STOP_CHECK_INTERVAL_MILLIS = 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private volatile RouterSettings settings;
    private final MillisClock clock = new SystemMillisClock();
    private final RouterEventLog log;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final MultiThreadIoEventLoopGroup controlGroup = newEventLoopGroup("snipewind-control", 1);
    private final EventLoop controlLoop = controlGroup.next();
    private final MultiThreadIoEventLoopGroup workerGroup;
    private final FleetTracker tracker;
    private final StoreCache storeCache;
    private final Membership membership;
    private final LeaderElection leaderElection;
    private final LeaderService leaderService;
    private final PeerNetwork network;
    private final LeaderClient leaderClient;
    private final RolloutReporter rolloutReporter;
    private final StoreChangeBroadcaster changeBroadcaster;
    private final SharedRoutingState sharedState;
    private final CallerServer callers;
    private final BufferMemory requestMemory = new BufferMemory(
            (long) (Runtime.getRuntime().maxMemory() * REQUEST_MEMORY_FRACTION), ClientResources.SMALL_REQUEST_BYTES);
    private final ClientResources clients;
    private final BufferMemory responseMemory =
            new BufferMemory((long) (Runtime.getRuntime().maxMemory() * RESPONSE_MEMORY_FRACTION));
    private volatile boolean stopping;
    private final ActivityLog activityLog;
    private boolean wasReady;
    private volatile long tickDueMillis;

    /**
     * Creates an instance that is not started yet.
     *
     * @param settings settings of the instance
     * @param storeFactory creates the store client on top of the HTTP client of the control loop
     * @param ownershipClientFactory creates the client for ownership requests on top of the same HTTP client
     * @param itemParser parses the store items of operators and targets
     * @param headerCodec reads and writes the headers of requests and responses
     */
    public Router(
            RouterSettings settings,
            Function<OutboundHttpClient, CoordinationStore> storeFactory,
            Function<OutboundHttpClient, KeyOwnershipClient> ownershipClientFactory,
            StoreItemParser itemParser,
            HeaderCodec headerCodec) {
        this.settings = settings;
        this.log = new RouterEventLog(settings.name(), clock);
        this.workerGroup = newEventLoopGroup("snipewind-worker", settings.workers());
        OutboundHttpClient httpClient =
                new OutboundHttpClient(controlLoop, clock, new UnsolicitedBytesReporter(metrics, log));
        CoordinationStore store = storeFactory.apply(httpClient);
        MemberRecord self = newMember(settings);
        tracker = new FleetTracker(itemParser, clock, log);
        tracker.setControlLoop(controlLoop);
        storeCache = new StoreCache(store, controlLoop, clock, log, tracker);
        tracker.setReconnectAgeSupplier(storeCache::reconnectAgeMillis);
        membership = new Membership(store, storeCache, controlLoop, log, self);
        KeyOwnershipClient ownershipClient = ownershipClientFactory.apply(httpClient);
        ownershipClient.setLeavingListener(tracker::recordLeaving);
        leaderService = new LeaderService(store, storeCache, tracker, ownershipClient, clock, log, self);
        leaderElection = new LeaderElection(
                store, storeCache, tracker, controlLoop, clock, log, self, this::onTermStart, this::onTermEnd);
        network = new PeerNetwork(
                store,
                storeCache,
                tracker,
                leaderService,
                controlLoop,
                controlGroup,
                clock,
                log,
                metrics,
                self,
                settings.peers().getPort());
        leaderService.setLeaderElection(leaderElection);
        leaderElection.setFormerLeaderCallbacks(network::requestTermEnd, leaderService::onFormerLeaderEnded);
        changeBroadcaster = new StoreChangeBroadcaster(network, storeCache, tracker, leaderElection, controlLoop, log);
        sharedState = new SharedRoutingState(tracker, clock, settings.limits(), settings.name());
        leaderClient = new LeaderClient(
                network,
                tracker,
                storeCache,
                leaderElection,
                leaderService,
                sharedState,
                controlLoop,
                clock,
                log,
                self);
        rolloutReporter = createRolloutReporter(store, itemParser, self);
        tracker.addObserver(sharedState::onViewChanged);
        clients =
                ClientResources.of(settings.memoryBytes(), Runtime.getRuntime().maxMemory(), DescriptorLimit.read(log));
        callers = new CallerServer(controlGroup, workerGroup, routingContext(createRateLimiter(), headerCodec));
        activityLog = new ActivityLog(metrics, log, clock, this::describeView);
        registerGauges();
    }

    private RoutingContext routingContext(OrganisationRateLimiter rateLimiter, HeaderCodec headerCodec) {
        return new RoutingContext(
                tracker,
                sharedState,
                rateLimiter,
                requestMemory,
                clients,
                responseMemory,
                headerCodec,
                clock,
                metrics,
                log,
                settings.dataCentre(),
                settings.linkMegabits());
    }

    private OrganisationRateLimiter createRateLimiter() {
        OrganisationRateLimiter rateLimiter =
                new OrganisationRateLimiter(tracker, clock, controlLoop, leaderClient::fetchTokens);
        tracker.addObserver(rateLimiter::onViewChanged);
        return rateLimiter;
    }

    private RolloutReporter createRolloutReporter(
            CoordinationStore store, StoreItemParser documents, MemberRecord self) {
        sharedState.versions().connect(storeCache::ageMillis, metrics);
        RolloutService service = new RolloutService(
                store, storeCache, tracker, documents, clock, log, metrics, leaderElection::isLeading);
        return new RolloutReporter(
                network, tracker, sharedState.versions().evidence(), service, controlLoop, log, self);
    }

    private static MemberRecord newMember(RouterSettings settings) {
        return new MemberRecord(
                settings.name(),
                UUID.randomUUID().toString(),
                hostAndPort(settings.peers()),
                settings.dataCentre(),
                CandidatePriority.capacity(settings.processorCores(), settings.linkMegabits()));
    }

    private void onTermStart(long formerTermEndMillis, Optional<MemberRecord> formerLeader) {
        leaderService.onTermStart(formerTermEndMillis, formerLeader);
        changeBroadcaster.onTermStart();
    }

    private void onTermEnd() {
        leaderService.onTermEnd();
        changeBroadcaster.onTermEnd();
    }

    private String describeView() {
        FleetView view = tracker.view();
        return "version="
                + view.configuration().map(RoutingConfiguration::version).orElse(0L) + ' ' + storeCache.describe()
                + " leader="
                + view.leader().map(leader -> leader.member().name()).orElse("none")
                + " members=" + view.members().size() + " targets="
                + view.targets().size();
    }

    private static MultiThreadIoEventLoopGroup newEventLoopGroup(String name, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void registerGauges() {
        storeCache.eras().setChangeListener(() -> metrics.count("store.era-changes"));
        metrics.gauge("callers.connections", callers::connections);
        metrics.gauge(
                "configuration.version",
                () -> tracker.view()
                        .configuration()
                        .map(configuration -> configuration.version())
                        .orElse(0L));
        metrics.gauge(
                "configuration.unreadable-parts",
                () -> tracker.view()
                        .configuration()
                        .map(configuration -> configuration.problems().size())
                        .orElse(0));
        metrics.gauge("configuration.unreadable-revision", tracker::unreadableConfigurationRevision);
        metrics.gauge("fleet.members", () -> tracker.view().members().size());
        metrics.gauge("fleet.targets", () -> tracker.view().targets().size());
        metrics.gauge("requests.reserved-bytes", requestMemory::reservedBytes);
        metrics.gauge(
                "requests.large-reserved-bytes", () -> clients.largeBodies().reservedBytes());
        metrics.gauge("clients.held-bytes", () -> clients.memory().heldBytes());
        metrics.gauge("responses.reserved-bytes", responseMemory::reservedBytes);
        metrics.gauge("store.contact-age-millis", storeCache::contactAgeMillis);
        metrics.gauge("store.confirmation-age-millis", storeCache::ageMillis);
        metrics.gauge("store.revision", storeCache::revision);
        metrics.gauge("store.era", () -> storeCache.eras().era());
        metrics.gauge("store.calls-restarted", storeCache::restarts);
        metrics.gauge("leader", () -> leaderElection.isLeading() ? 1 : 0);
    }

    /** Starts all components. Blocks, so it must not be called on an event loop. */
    public void start() {
        storeCache.start();
        membership.start();
        network.newObservationSharing(clock).start(controlLoop);
        network.start();
        leaderElection.start();
        leaderClient.start();
        rolloutReporter.start();
        changeBroadcaster.start();
        scheduleTick();
        controlLoop.scheduleAtFixedRate(
                new GuardedTask(log, "log of the activity", activityLog::write),
                ActivityLog.INTERVAL_MILLIS,
                ActivityLog.INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        new TextServer(controlGroup, metrics, uri -> CompletableFuture.completedFuture(readiness()))
                .start(settings.readiness());
        ExplainRoutePage explainRoute =
                new ExplainRoutePage(callers::explain, tracker, storeCache, clock, log, settings.name());
        InternalPages internalPages = new InternalPages(metrics, tracker, clock);
        new TextServer(
                        controlGroup,
                        metrics,
                        uri -> explainRoute
                                .serve(uri)
                                .orElseGet(() -> CompletableFuture.completedFuture(internalPages.page(uri))))
                .start(settings.metrics());
        callers.start(settings.callers());
        log.write(
                RouterEvent.STARTED,
                () -> "callers=" + settings.callers() + " peers=" + settings.peers() + " data-centre="
                        + settings.dataCentre());
    }

    /**
     * Applies changed settings. Only the limits and the grace period take effect while the instance runs.
     *
     * @param changed the new settings
     */
    public void update(RouterSettings changed) {
        if (changed.equals(settings)) {
            return;
        }
        boolean sameAddresses =
                changed.callers().equals(settings.callers()) && changed.peers().equals(settings.peers());
        settings = changed;
        sharedState.setLimits(changed.limits());
        log.write(
                RouterEvent.SETTINGS_RELOADED,
                () -> "limits=" + changed.limits() + " grace=" + changed.graceMillis() + "ms addresses="
                        + (sameAddresses ? "unchanged" : "changed, in force after the next start"));
    }

    /**
     * Logs that changed settings are invalid; the settings in force are kept.
     *
     * @param problem description of the error
     */
    public void rejectSettings(String problem) {
        log.write(RouterEvent.SETTINGS_REJECTED, () -> problem);
    }

    private void scheduleTick() {
        long intervalMillis = leaderElection.isLeading() ? LEADER_TICK_INTERVAL_MILLIS : TICK_INTERVAL_MILLIS;
        tickDueMillis = clock.nowMillis() + intervalMillis;
        controlLoop.schedule(this::tick, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        metrics.addLateness("loops.control-late-millis", clock.nowMillis() - tickDueMillis);
        try {
            runPeriodicTasks();
        } finally {
            scheduleTick();
        }
    }

    private void runPeriodicTasks() {
        tracker.removeExpiredTargets();
        tracker.retryPendingConfiguration();
        leaderService.tick();
        rolloutReporter.decide();
        boolean ready = isReady();
        if (ready != wasReady) {
            wasReady = ready;
            FleetView view = tracker.view();
            log.write(
                    ready ? RouterEvent.READY : RouterEvent.NOT_READY,
                    () -> "configuration=" + view.configuration().isPresent() + " targets="
                            + view.targets().size() + " copy-age=" + storeCache.ageMillis() + "ms stopping="
                            + stopping);
        }
    }

    private boolean isReady() {
        FleetView view = tracker.view();
        return !stopping && view.configuration().isPresent() && !view.targets().isEmpty();
    }

    private TextServer.Page readiness() {
        return isReady() ? new TextServer.Page(OK, "ready\n") : new TextServer.Page(UNAVAILABLE, "not ready\n");
    }

    /**
     * Stops the instance: reports that it is not ready, hands over the leadership, waits for requests in progress and
     * returns before the end of the grace period. Callers may come to the last moment, so requests that can't end in
     * time are refused, and the listener closes before the end.
     */
    public void stop() {
        ShutdownSchedule schedule = new ShutdownSchedule(clock.nowMillis(), settings.graceMillis());
        long removedMillis = Math.min(clock.nowMillis() + LOAD_BALANCER_REMOVAL_MILLIS, schedule.listenerCloseMillis());
        stopping = true;
        log.write(
                RouterEvent.STOPPING,
                () -> "grace=" + settings.graceMillis() + "ms connections=" + callers.connections());
        controlLoop.execute(leaderElection::stop);
        sharedState.beginShutdown(schedule);
        callers.drain();
        while (clock.nowMillis() < removedMillis) {
            sleepBetweenStopChecks();
        }
        boolean listening = true;
        while (clock.nowMillis() < schedule.endMillis()
                && (listening || callers.isBusy() || callers.connections() > 0)) {
            callers.closeIdle();
            boolean unused = !callers.isBusy() && callers.connections() == 0;
            if (listening && (unused || clock.nowMillis() >= schedule.listenerCloseMillis())) {
                // The next iteration still waits for connections that were accepted just before.
                callers.closeListener();
                listening = false;
            }
            if (clock.nowMillis() >= schedule.requestEndMillis()) {
                callers.endRequests();
            }
            sleepBetweenStopChecks();
        }
        controlLoop.execute(membership::leave);
        sleepBetweenStopChecks();
        log.write(RouterEvent.STOPPED, () -> "busy=" + callers.isBusy() + " connections=" + callers.connections());
    }

    /** Ends the event loops of a stopped instance in a process that goes on without it. */
    public void close() {
        workerGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        controlGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static void sleepBetweenStopChecks() {
        try {
            TimeUnit.MILLISECONDS.sleep(STOP_CHECK_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
