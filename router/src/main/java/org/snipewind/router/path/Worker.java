package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.coordination.target.LeastResponseTimeSelector;

/** One thread that serves callers, with its own connections to targets; everything in it belongs to its loop. */
final class Worker {

    /**
     * Traffic between data centres has a price and a distance, so a target there must be clearly faster than one
     * nearby.
     */
    private static final double REMOTE_FACTOR = 1.3;

    private static final double REMOTE_MILLIS = 5;

    /** Each tick wakes the process, which costs an idle instance more than what it does then. */
    private static final long TICK_MILLIS = 100;

    /** Ticks between looks at the times of the callers' connections. */
    private static final int TICKS_PER_CALLER_CHECK = 5;

    /** Ticks between looks at the kept connections to targets. */
    private static final int TICKS_PER_TIDYING = 10;

    /**
     * A loop that is late by this much has more requests than processor time. Requests that are read then are refused
     * at once, since their callers may have left before an answer is ready.
     */
    private static final long OVERLOAD_MILLIS = 125;

    private final EventLoop loop;
    private final RoutingContext context;
    private final TargetConnections connections;
    private final TargetRouting routing;
    private final Set<RoutedRequest> waiting = new LinkedHashSet<>();
    private final Set<CallerChannel> channels = new HashSet<>();
    private long ticks;
    private long tickedAtMillis;
    private final AtomicInteger inProgress = new AtomicInteger();

    Worker(EventLoop loop, RoutingContext context) {
        this.loop = loop;
        this.context = context;
        this.connections = new TargetConnections(loop, context.clock(), context.metrics());
        this.routing = new TargetRouting(
                context,
                connections,
                new LeastResponseTimeSelector(
                        context.dataCentre(),
                        REMOTE_FACTOR,
                        REMOTE_MILLIS,
                        () -> ThreadLocalRandom.current().nextDouble()));
        this.tickedAtMillis = context.clock().nowMillis();
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        context.tracker().addObserver(() -> loop.execute(this::viewChanged));
    }

    EventLoop loop() {
        return loop;
    }

    /** Runs a task on this worker's loop, at once if that is the present thread. */
    void run(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    RoutingContext context() {
        return context;
    }

    TargetConnections connections() {
        return connections;
    }

    TargetRouting routing() {
        return routing;
    }

    int inProgress() {
        return inProgress.get();
    }

    /** Serves a request; the result can be cancelled until it is answered. */
    RoutedRequest serve(CallerRequest request, Responder responder) {
        inProgress.incrementAndGet();
        RoutedRequest routed = new RoutedRequest(this, request, responder);
        routed.start();
        return routed;
    }

    void ended() {
        inProgress.decrementAndGet();
    }

    void waitForOwner(RoutedRequest request) {
        waiting.add(request);
    }

    boolean isWaiting(RoutedRequest request) {
        return waiting.contains(request);
    }

    void stopWaiting(RoutedRequest request) {
        waiting.remove(request);
    }

    private void viewChanged() {
        for (RoutedRequest request : List.copyOf(waiting)) {
            waiting.remove(request);
            request.route();
        }
    }

    private void tick() {
        long now = context.clock().nowMillis();
        context.metrics().countDelay("loops.worker-late-millis", now - tickedAtMillis - TICK_MILLIS);
        tickedAtMillis = now;
        ticks++;
        if (ticks % TICKS_PER_CALLER_CHECK == 0) {
            List.copyOf(channels).forEach(CallerChannel::checkTimes);
        }
        if (ticks % TICKS_PER_TIDYING == 0) {
            tidy();
        }
    }

    /** Checks the times of a caller's connection from now on; one timer serves all connections. */
    void watch(CallerChannel channel) {
        channels.add(channel);
    }

    void unwatch(CallerChannel channel) {
        channels.remove(channel);
    }

    /** Tells whether this instance has too little processor time for its requests. */
    boolean isOverloaded() {
        return context.clock().nowMillis() - tickedAtMillis > TICK_MILLIS + OVERLOAD_MILLIS;
    }

    private void tidy() {
        connections.tidy(life -> context.tracker().view().findInService(life).isPresent());
    }
}
