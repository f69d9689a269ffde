package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.DataCentreSelector;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;

/** An event loop that serves callers over its own connections to targets; its state is confined to that loop. */
final class Worker {

    /** Each tick wakes up the process, which costs an idle instance more than the work of the tick itself. */
    private static final long TICK_INTERVAL_MILLIS = 100;

    /** Ticks between checks of the timeouts of callers' connections. */
    private static final int TICKS_PER_TIMEOUT_CHECK = 5;

    /** Ticks between searches for idle connections to targets that must be closed. */
    private static final int TICKS_PER_CONNECTION_CLEANUP = 10;

    /**
     * Delay of a tick at which the loop counts as overloaded: it has more requests than processor time. Requests that
     * are read then are refused immediately, since their callers may have disconnected before a response is ready.
     */
    private static final long OVERLOAD_DELAY_MILLIS = 125;

    private final EventLoop loop;
    private final RoutingContext context;
    private final TargetConnections connections;
    private final TargetResolver targetResolver;
    private final RequestClassifier classifier;
    private final CapacityQueue capacityQueue;
    private final Set<RoutedRequest> waitingForOwner = new LinkedHashSet<>();
    private final Set<CallerChannel> channels = new HashSet<>();
    private long ticks;
    private long lastTickMillis;
    private final AtomicInteger inProgress = new AtomicInteger();

    Worker(EventLoop loop, RoutingContext context) {
        this.loop = loop;
        this.context = context;
        this.connections = new TargetConnections(loop, context);
        this.targetResolver = new TargetResolver(
                context,
                connections,
                new DataCentreSelector(
                        context.dataCentre(),
                        context.linkMegabits(),
                        () -> ThreadLocalRandom.current().nextDouble()));
        this.classifier = new RequestClassifier(context);
        this.capacityQueue = new CapacityQueue(loop, context.clock());
        this.lastTickMillis = context.clock().nowMillis();
        loop.scheduleAtFixedRate(
                new GuardedTask(context.log(), "checks of the worker", this::tick),
                TICK_INTERVAL_MILLIS,
                TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        context.tracker().addObserver(() -> loop.execute(this::onViewChanged));
    }

    EventLoop loop() {
        return loop;
    }

    /** Runs a task on this worker's loop, immediately if the current thread is that loop. */
    void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    RoutingContext context() {
        return context;
    }

    CallerLimits limits() {
        return context.tracker()
                .view()
                .configuration()
                .map(RoutingConfiguration::limits)
                .orElse(CallerLimits.DEFAULT);
    }

    TargetConnections connections() {
        return connections;
    }

    TargetResolver targetResolver() {
        return targetResolver;
    }

    CapacityQueue capacityQueue() {
        return capacityQueue;
    }

    RequestClassifier classifier() {
        return classifier;
    }

    int inProgress() {
        return inProgress.get();
    }

    /** Starts to serve a request; the returned request can be cancelled until it has finished. */
    RoutedRequest serve(CallerRequest request, Responder responder) {
        inProgress.incrementAndGet();
        RoutedRequest routedRequest = new RoutedRequest(this, request, responder);
        routedRequest.start();
        return routedRequest;
    }

    /**
     * Returns whether a request may run beside those before it on its connection: if it may be repeated, or if no route
     * matches and it will be refused.
     */
    boolean isIdempotent(CallerRequest request) {
        return context.tracker()
                .view()
                .configuration()
                .flatMap(configuration -> configuration.route(request.headers().get("Host", ""), request.path()))
                .map(Route::idempotent)
                .orElse(true);
    }

    void requestFinished() {
        inProgress.decrementAndGet();
    }

    /** Routes a request again after the next change of the fleet view, when the owner of its key may be known. */
    void waitForOwner(RoutedRequest request) {
        waitingForOwner.add(request);
    }

    boolean isWaiting(RoutedRequest request) {
        return waitingForOwner.contains(request);
    }

    void stopWaiting(RoutedRequest request) {
        waitingForOwner.remove(request);
    }

    private void onViewChanged() {
        for (RoutedRequest request : List.copyOf(waitingForOwner)) {
            waitingForOwner.remove(request);
            request.routeIfNoneActive();
        }
    }

    private void tick() {
        long now = context.clock().nowMillis();
        context.metrics().addLateness("loops.worker-late-millis", now - lastTickMillis - TICK_INTERVAL_MILLIS);
        lastTickMillis = now;
        ticks++;
        context.sharedState().forEachAdmission((pool, admission) -> {
            if (admission.endsShortage(now)) {
                context.log().write(RouterEvent.POOL_ROOM_REGAINED, () -> "pool=" + pool);
            }
        });
        if (ticks % TICKS_PER_TIMEOUT_CHECK == 0) {
            List.copyOf(channels).forEach(CallerChannel::checkTimeouts);
        }
        if (ticks % TICKS_PER_CONNECTION_CLEANUP == 0) {
            closeStaleConnections();
        }
    }

    /** Includes a caller's connection in the regular timeout checks; one timer serves all connections. */
    void addChannel(CallerChannel channel) {
        channels.add(channel);
    }

    void removeChannel(CallerChannel channel) {
        channels.remove(channel);
    }

    /** Returns whether the loop's last tick is overdue for so long that it lacks processor time for more requests. */
    boolean isOverloaded() {
        return context.clock().nowMillis() - lastTickMillis > TICK_INTERVAL_MILLIS + OVERLOAD_DELAY_MILLIS;
    }

    private void closeStaleConnections() {
        connections.closeStale(incarnation ->
                context.tracker().view().findInService(incarnation).isPresent());
    }
}
