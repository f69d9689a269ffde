package org.snipewind.router;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.coordination.election.CandidatePriority;
import org.snipewind.router.http.OutboundHttpClient;
import org.snipewind.router.lead.LeaderElection;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.PrometheusText;
import org.snipewind.router.metrics.RouterMetrics;
import org.snipewind.router.path.CallerServer;
import org.snipewind.router.path.OrganisationRateLimiter;
import org.snipewind.router.path.RoutingContext;
import org.snipewind.router.path.SharedRoutingState;
import org.snipewind.router.peer.LeaderClient;
import org.snipewind.router.peer.PeerNetwork;
import org.snipewind.router.peer.StoreChangeBroadcaster;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.HeaderCodec;
import org.snipewind.router.port.KeyOwnershipClient;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.Membership;
import org.snipewind.router.state.StoreCache;

/** One running instance: puts its parts together, starts them and ends them in order. */
public final class Router {

    /** Time between looks at what is due, short where orders to targets wait for it. */
    private static final long LEADING_TICK_MILLIS = 50;

    private static final long TICK_MILLIS = 200;

    /** The balancer takes an instance out after two missed checks a second apart; then idle connections may close. */
    private static final long OUT_OF_ROTATION_MILLIS = 2_300;

    /** The process ends this long before it would be killed. */
    private static final long EXIT_MARGIN_MILLIS = 500;

    private static final long STOP_CHECK_MILLIS = 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private volatile RouterSettings settings;
    private final MillisClock clock = new SystemMillisClock();
    private final RouterEventLog log;
    private final RouterMetrics metrics = new RouterMetrics();
    private final MultiThreadIoEventLoopGroup controlGroup = group("snipewind-control", 1);
    private final EventLoop control = controlGroup.next();
    private final MultiThreadIoEventLoopGroup workerGroup;
    private final FleetTracker tracker;
    private final StoreCache mirror;
    private final Membership membership;
    private final LeaderElection leadership;
    private final LeaderService duties;
    private final PeerNetwork network;
    private final LeaderClient reporter;
    private final StoreChangeBroadcaster feed;
    private final SharedRoutingState tables;
    private final CallerServer callers;
    private volatile boolean stopping;
    private final ActivityLog activity;
    private boolean wasReady;
    private volatile long tickDueMillis;

    /**
     * Creates an instance that does nothing yet.
     *
     * @param settings its settings
     * @param storeFactory makes the client of the store on the caller of the control loop
     * @param ordersFactory makes the client for orders to targets
     * @param documents reads the operators' and targets' items
     * @param dialect headers of requests and answers
     */
    public Router(
            RouterSettings settings,
            Function<OutboundHttpClient, CoordinationStore> storeFactory,
            Function<OutboundHttpClient, KeyOwnershipClient> ordersFactory,
            StoreItemParser documents,
            HeaderCodec dialect) {
        this.settings = settings;
        this.log = new RouterEventLog(settings.name(), clock);
        this.workerGroup = group("snipewind-worker", settings.workers());
        OutboundHttpClient caller = new OutboundHttpClient(control);
        CoordinationStore store = storeFactory.apply(caller);
        MemberRecord self = new MemberRecord(
                settings.name(),
                UUID.randomUUID().toString(),
                address(settings.peers()),
                settings.dataCentre(),
                CandidatePriority.capacity(settings.processorCores(), settings.linkMegabits()));
        tracker = new FleetTracker(documents, clock, log);
        mirror = new StoreCache(store, control, clock, log, tracker);
        tracker.setReconnectAgeSupplier(mirror::reconnectAgeMillis);
        membership = new Membership(store, mirror, control, log, self);
        duties = new LeaderService(store, mirror, tracker, ordersFactory.apply(caller), clock, log, self);
        leadership =
                new LeaderElection(store, mirror, tracker, control, clock, log, self, this::termBegan, this::termEnded);
        network = new PeerNetwork(
                store,
                mirror,
                duties,
                control,
                controlGroup,
                log,
                metrics,
                self,
                settings.peers().getPort());
        duties.setLeaderElection(leadership);
        leadership.setFormerLeaderCallbacks(network::requestTermEnd, duties::onFormerLeaderEnded);
        feed = new StoreChangeBroadcaster(network, mirror, tracker, leadership, control);
        tables = new SharedRoutingState(tracker, clock, settings.limits(), settings.name());
        reporter = new LeaderClient(network, tracker, mirror, leadership, duties, tables, control, clock, log, self);
        tracker.addObserver(tables::viewChanged);
        OrganisationRateLimiter rates = new OrganisationRateLimiter(tracker, clock, control, reporter::fetchTokens);
        tracker.addObserver(rates::viewChanged);
        callers = new CallerServer(
                controlGroup,
                workerGroup,
                new RoutingContext(tracker, tables, rates, dialect, clock, metrics, log, settings.dataCentre()));
        activity = new ActivityLog(metrics, log, clock);
        registerGauges();
    }

    private void termBegan(long formerUntilMillis, Optional<MemberRecord> deposed) {
        duties.onTermStart(formerUntilMillis, deposed);
        feed.onTermStart();
    }

    private void termEnded() {
        duties.onTermEnd();
        feed.onTermEnd();
    }

    private static MultiThreadIoEventLoopGroup group(String name, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private static String address(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void registerGauges() {
        metrics.gauge("callers.connections", callers::connections);
        metrics.gauge(
                "configuration.version",
                () -> tracker.view()
                        .configuration()
                        .map(configuration -> configuration.version())
                        .orElse(0L));
        metrics.gauge("fleet.members", () -> tracker.view().members().size());
        metrics.gauge("fleet.targets", () -> tracker.view().targets().size());
        metrics.gauge("store.contact-age-millis", mirror::contactAgeMillis);
        metrics.gauge("leader", () -> leadership.isLeading() ? 1 : 0);
    }

    /** Starts all parts; must not be called on a network thread. */
    public void start() {
        mirror.start();
        membership.start();
        network.start();
        leadership.start();
        reporter.start();
        feed.start();
        scheduleTick();
        control.scheduleAtFixedRate(
                activity::write, ActivityLog.INTERVAL_MILLIS, ActivityLog.INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        new TextServer(controlGroup, uri -> readiness()).start(settings.readiness());
        new TextServer(controlGroup, uri -> new TextServer.Text(OK, PrometheusText.write(metrics.registry())))
                .start(settings.metrics());
        callers.start(settings.callers());
        log.write(
                RouterEvent.STARTED,
                () -> "callers=" + settings.callers() + " peers=" + settings.peers() + " data-centre="
                        + settings.dataCentre());
    }

    /**
     * Takes changed settings into force; limits and the grace period can change while the instance runs.
     *
     * @param changed the settings
     */
    public void update(RouterSettings changed) {
        if (changed.equals(settings)) {
            return;
        }
        boolean sameAddresses =
                changed.callers().equals(settings.callers()) && changed.peers().equals(settings.peers());
        settings = changed;
        tables.setLimits(changed.limits());
        log.write(
                RouterEvent.SETTINGS_RELOADED,
                () -> "limits=" + changed.limits() + " grace=" + changed.graceMillis() + "ms addresses="
                        + (sameAddresses ? "unchanged" : "changed, in force after the next start"));
    }

    /**
     * Reports settings that can't be used; those in force stay.
     *
     * @param problem what is wrong
     */
    public void rejectSettings(String problem) {
        log.write(RouterEvent.SETTINGS_REJECTED, () -> problem);
    }

    private void scheduleTick() {
        long pause = leadership.isLeading() ? LEADING_TICK_MILLIS : TICK_MILLIS;
        tickDueMillis = clock.nowMillis() + pause;
        control.schedule(this::tick, pause, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        metrics.countDelay("loops.control-late-millis", clock.nowMillis() - tickDueMillis);
        try {
            doWhatIsDue();
        } finally {
            scheduleTick();
        }
    }

    private void doWhatIsDue() {
        tracker.removeExpiredTargets();
        duties.tick();
        boolean ready = isReady();
        if (ready != wasReady) {
            wasReady = ready;
            FleetView view = tracker.view();
            log.write(
                    ready ? RouterEvent.READY : RouterEvent.NOT_READY,
                    () -> "configuration=" + view.configuration().isPresent() + " targets="
                            + view.targets().size() + " copy-age=" + mirror.ageMillis() + "ms stopping=" + stopping);
        }
    }

    private boolean isReady() {
        FleetView view = tracker.view();
        return !stopping && view.configuration().isPresent() && !view.targets().isEmpty();
    }

    private TextServer.Text readiness() {
        return isReady() ? new TextServer.Text(OK, "ready\n") : new TextServer.Text(UNAVAILABLE, "not ready\n");
    }

    /**
     * Ends the instance: reports not ready, gives the leadership away, lets requests in progress end and returns before
     * the grace period is over.
     */
    public void stop() {
        long end = clock.nowMillis() + settings.graceMillis() - EXIT_MARGIN_MILLIS;
        long outOfRotation = clock.nowMillis() + OUT_OF_ROTATION_MILLIS;
        stopping = true;
        log.write(
                RouterEvent.STOPPING,
                () -> "grace=" + settings.graceMillis() + "ms connections=" + callers.connections());
        control.execute(leadership::stop);
        callers.drain();
        while (clock.nowMillis() < outOfRotation) {
            pause();
        }
        boolean listening = true;
        while (clock.nowMillis() < end && (listening || callers.isBusy() || callers.connections() > 0)) {
            callers.closeIdle();
            if (listening && !callers.isBusy() && callers.connections() == 0) {
                // A connection that was accepted just before still counts in the next round.
                callers.closeListener();
                listening = false;
            }
            pause();
        }
        control.execute(membership::leave);
        pause();
        log.write(RouterEvent.STOPPED, () -> "busy=" + callers.isBusy() + " connections=" + callers.connections());
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
