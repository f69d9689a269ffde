package org.snipewind.daemon;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.clients.instances.InstanceList;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.target.TargetClient;
import org.snipewind.coordination.admission.ShutdownSchedule;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.daemon.http.CallerAdmission;
import org.snipewind.daemon.http.CallerMemory;
import org.snipewind.daemon.http.ConnectionLimit;
import org.snipewind.daemon.http.HttpServerContext;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.protocol.PeerSettings;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * A daemon process: its HTTP listeners, and the core of its current incarnation. A core that was removed from the fleet
 * is replaced by a new one with a new member id.
 */
public final class DaemonRuntime implements AutoCloseable {

    // Maximum time for which a removed core may complete its requests in flight before the new core replaces it.
    private static final long REPLACEMENT_DRAIN_MILLIS = 1_000;
    // Without requests for this time, the load balancer and the callers with open connections are assumed to have
    // stopped sending, and the listeners close.
    private static final long IDLE_BEFORE_CLOSE_MILLIS = 200;
    private static final int INCARNATION_CHARACTERS = 8;

    private final DaemonSettings settings;
    private final MillisClock clock = new SystemMillisClock();
    private final ProcessMetrics metrics;
    private final EventLog log;
    private final KeyValueStore store;
    private final Function<TargetSettings, TargetClient> targetClients;
    private final Optional<InstanceList> instanceList;
    private final UnaryOperator<PeerSettings> peerOptions;
    private final AtomicReference<DaemonCore> core = new AtomicReference<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CallerAdmission admission;
    private ApplicationContext context;

    /**
     * Creates a runtime; the daemon starts with {@link #start}.
     *
     * @param settings settings of the daemon
     * @param metrics metrics of the daemon
     * @param store the platform's key-value service, closed with the runtime
     * @param targetClients creates the client of a target
     * @param instanceList the platform's list of instances, empty if there is none
     * @param peerOptions adds options to the connections to peers, such as TLS
     */
    public DaemonRuntime(
            DaemonSettings settings,
            ProcessMetrics metrics,
            KeyValueStore store,
            Function<TargetSettings, TargetClient> targetClients,
            Optional<InstanceList> instanceList,
            UnaryOperator<PeerSettings> peerOptions) {
        this.settings = settings;
        this.metrics = metrics;
        this.store = store;
        this.targetClients = targetClients;
        this.instanceList = instanceList;
        this.peerOptions = peerOptions;
        this.log = new EventLog(settings.name());
        this.admission = new CallerAdmission(settings.limits(), core::get, metrics);
    }

    /** Starts the core, then the HTTP listeners. */
    public void start() {
        startCore();
        CallerMemory memory = CallerMemory.of(
                Runtime.getRuntime().maxMemory(), settings.limits().bodyBytes(), clock, metrics);
        context = ApplicationContext.builder()
                .properties(serverProperties())
                .banner(false)
                .singletons(
                        admission,
                        new HttpServerContext(
                                core::get,
                                admission,
                                metrics,
                                settings.operators().port(),
                                log),
                        new ConnectionLimit(
                                settings.callers().port(), settings.limits().connections(), memory.account(), metrics),
                        memory)
                .start();
        context.getBean(EmbeddedServer.class).start();
        log.write(
                LogEvent.DAEMON_STARTED,
                "callers " + settings.callers().address() + ", operators "
                        + settings.operators().address() + ", peers "
                        + settings.peers().address());
    }

    /**
     * Returns the core of the current incarnation.
     *
     * @return the core
     */
    public DaemonCore core() {
        return core.get();
    }

    /**
     * Returns the metrics of the daemon.
     *
     * @return the metrics
     */
    public ProcessMetrics metrics() {
        return metrics;
    }

    /**
     * Shuts down gracefully: the daemon becomes not ready and hands over its roles, and the listeners close when no
     * more requests arrive. Requests that are still in flight after the grace period are aborted.
     */
    public void shutdown() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        log.write(LogEvent.SHUTDOWN_STARTED, "grace period " + settings.shutdownGraceMillis() + " ms");
        long endMillis = clock.nowMillis() + settings.shutdownGraceMillis();
        admission.beginClosing();
        ShutdownSchedule schedule = new ShutdownSchedule(clock.nowMillis(), settings.shutdownGraceMillis());
        core.get().beginShutdown(schedule);
        // Nobody takes over the roles of the only member, so it serves the requests that still arrive.
        BooleanSupplier idleBeforeLeave = idleCondition();
        ConditionPoller.await(
                clock, schedule.requestEndMillis(), () -> !core.get().isOnlyMember() || idleBeforeLeave.getAsBoolean());
        core.get().leave(Math.max(0, endMillis - clock.nowMillis()));
        // The handover of roles may have taken the whole grace period, for example while the store is unreachable.
        boolean idle = ConditionPoller.await(
                clock, Math.max(endMillis, clock.nowMillis() + 2 * IDLE_BEFORE_CLOSE_MILLIS), idleCondition());
        log.write(
                idle ? LogEvent.SHUTDOWN_COMPLETED : LogEvent.SHUTDOWN_CUT_WORK,
                admission.inFlight() + " requests in flight");
        closeAll();
    }

    /** Stops immediately, without a handover of roles or a grace period. */
    @Override
    public void close() {
        if (stopping.compareAndSet(false, true)) {
            closeAll();
        }
    }

    /** Returns a condition that holds when there has been no request in progress for some time from now. */
    private BooleanSupplier idleCondition() {
        AtomicReference<Long> idleSinceMillis = new AtomicReference<>(clock.nowMillis());
        return () -> {
            if (admission.inFlight() > 0) {
                idleSinceMillis.set(clock.nowMillis());
            }
            return clock.nowMillis() - idleSinceMillis.get() >= IDLE_BEFORE_CLOSE_MILLIS;
        };
    }

    private void closeAll() {
        if (context != null) {
            context.close();
        }
        core.get().close();
        store.close();
    }

    private void startCore() {
        String incarnation = UUID.randomUUID().toString().substring(0, INCARNATION_CHARACTERS);
        String memberId = settings.name() + "-" + incarnation;
        DaemonCore created = new DaemonCore(
                memberId,
                settings,
                clock,
                store,
                targetClients,
                instanceList,
                peerOptions.apply(DaemonCore.peerSettings(memberId, settings, metrics)),
                this::replaceCore,
                metrics,
                log);
        core.set(created);
        created.start();
    }

    private void replaceCore() {
        Thread replacement = new Thread(
                () -> {
                    if (stopping.get()) {
                        return;
                    }
                    DaemonCore removed = core.get();
                    ConditionPoller.await(
                            clock, clock.nowMillis() + REPLACEMENT_DRAIN_MILLIS, () -> admission.inFlight() == 0);
                    removed.close();
                    metrics.count("daemon.incarnations");
                    startCore();
                },
                "core-replacement");
        replacement.setDaemon(true);
        replacement.start();
    }

    private Map<String, Object> serverProperties() {
        Map<String, Object> properties = new HashMap<>();
        String listeners = "micronaut.server.netty.listeners.";
        properties.put(listeners + "callers.host", settings.callers().host());
        properties.put(listeners + "callers.port", settings.callers().port());
        properties.put(listeners + "operators.host", settings.operators().host());
        properties.put(listeners + "operators.port", settings.operators().port());
        properties.put("micronaut.server.max-request-size", settings.limits().bodyBytes());
        properties.put("micronaut.server.netty.max-header-size", 32 * 1024);
        properties.put("micronaut.server.date-header", false);
        properties.put("micronaut.server.idle-timeout", "120s");
        properties.put("micronaut.application.name", settings.name());
        return properties;
    }
}
