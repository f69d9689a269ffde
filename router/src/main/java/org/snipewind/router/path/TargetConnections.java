package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.http.ConnectionOptions;
import org.snipewind.router.http.HttpConnection;
import org.snipewind.router.http.HttpConnector;
import org.snipewind.router.http.UnsolicitedBytes;
import org.snipewind.router.http.UnsolicitedBytesReporter;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * The connections of one worker to targets, reused between requests, with a limited number for each target. Confined to
 * the worker's event loop.
 */
final class TargetConnections {

    /**
     * Within a data centre, connecting takes a few milliseconds. After a packet loss, another attempt is better than
     * the long wait for the retransmission.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** Connections are reused only if they were idle for less than this fraction of the target's idle timeout. */
    private static final double IDLE_REUSE_FRACTION = 0.6;

    /**
     * Longest idle time of a connection that is reused for a non-idempotent request. Targets may drop idle connections
     * before their idle timeout, and then it is unknown whether the request ran.
     */
    private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 3_000;

    /**
     * Time for which connections to a target are not reused after it has broken off a response. If it does so again
     * while a request is in progress on a reused connection, the response to that request is lost.
     */
    private static final long NO_REUSE_MILLIS = 5_000;

    private record IdleConnection(HttpConnection connection, long idleSinceMillis) {}

    /** The connections to one incarnation of a target; open connections include those in use and being opened. */
    private static final class IncarnationConnections {
        private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
        private int openCount;
        private long noReuseUntilMillis;
    }

    private final EventLoop loop;
    private final MillisClock clock;
    private final ProcessMetrics metrics;
    private final BufferMemory responseMemory;
    private final UnsolicitedBytesReporter unsolicitedBytes;
    private final Map<String, IncarnationConnections> byIncarnation = new HashMap<>();

    TargetConnections(EventLoop loop, RoutingContext context) {
        this.loop = loop;
        this.clock = context.clock();
        this.metrics = context.metrics();
        this.responseMemory = context.responseMemory();
        this.unsolicitedBytes = new UnsolicitedBytesReporter(metrics, context.log());
    }

    /** Returns whether a connection to the target is idle or may be opened. */
    boolean hasCapacity(TargetRegistration target, int connectionLimit) {
        IncarnationConnections connections = byIncarnation.get(target.incarnation());
        return connections == null || !connections.idleConnections.isEmpty() || connections.openCount < connectionLimit;
    }

    /** Returns whether an idle connection to the target could be reused now. */
    boolean hasIdleConnection(TargetRegistration target, boolean nonIdempotent) {
        IncarnationConnections connections = byIncarnation.get(target.incarnation());
        return connections != null
                && !connections.idleConnections.isEmpty()
                && isFresh(connections, connections.idleConnections.peekLast(), nonIdempotent);
    }

    /**
     * Obtains an idle or a new connection, which must be released or aborted after use.
     *
     * <p>A request that can't use any of the idle connections takes the place of one of them if there are as many
     * connections as the limit allows.
     *
     * @param target the target
     * @param connectionLimit largest number of connections to the target
     * @param nonIdempotent whether the request must not run twice, which requires a recently used or new connection
     * @param reusable decides whether a certain connection may be reused for the request
     * @param opened receives the connection
     * @param connectFailed receives the cause if no connection could be opened
     */
    void acquire(
            TargetRegistration target,
            int connectionLimit,
            boolean nonIdempotent,
            Predicate<HttpConnection> reusable,
            Consumer<HttpConnection> opened,
            Consumer<Throwable> connectFailed) {
        IncarnationConnections connections =
                byIncarnation.computeIfAbsent(target.incarnation(), incarnation -> new IncarnationConnections());
        Optional<HttpConnection> idle = takeIdle(connections, nonIdempotent, reusable);
        if (idle.isPresent()) {
            metrics.count("connections.reused");
            opened.accept(idle.get());
            return;
        }
        if (connections.openCount >= connectionLimit && !connections.idleConnections.isEmpty()) {
            connections.idleConnections.removeFirst().connection().abort();
        }
        connections.openCount++;
        metrics.count("connections.opened");
        HttpConnector.open(
                loop,
                new InetSocketAddress(target.host(), target.port()),
                CONNECT_TIMEOUT_MILLIS,
                new ConnectionOptions(
                        MAX_RESPONSE_BYTES,
                        responseMemory,
                        clock,
                        unsolicitedBytes
                                .forServer(target.incarnation())
                                .andThen(found -> onUnsolicitedBytes(connections, found)),
                        () -> connections.openCount--),
                opened,
                cause -> {
                    connections.openCount--;
                    metrics.count("connections.refused");
                    connectFailed.accept(cause);
                });
    }

    private void onUnsolicitedBytes(IncarnationConnections connections, UnsolicitedBytes found) {
        if (found.kind().hidesNextResponse()) {
            connections.noReuseUntilMillis = clock.nowMillis() + NO_REUSE_MILLIS;
        }
    }

    private Optional<HttpConnection> takeIdle(
            IncarnationConnections connections, boolean nonIdempotent, Predicate<HttpConnection> reusable) {
        Iterator<IdleConnection> newestFirst = connections.idleConnections.descendingIterator();
        while (newestFirst.hasNext()) {
            IdleConnection newest = newestFirst.next();
            if (!isFresh(connections, newest, nonIdempotent)) {
                newestFirst.remove();
                newest.connection().abort();
            } else if (reusable.test(newest.connection())) {
                newestFirst.remove();
                newest.connection().readPending();
                if (newest.connection().isReusable()) {
                    return Optional.of(newest.connection());
                }
            }
        }
        return Optional.empty();
    }

    private boolean isFresh(IncarnationConnections connections, IdleConnection idle, boolean nonIdempotent) {
        double maxIdleMillis = idle.connection().serverIdleTimeoutMillis() * IDLE_REUSE_FRACTION;
        if (nonIdempotent) {
            maxIdleMillis = Math.min(maxIdleMillis, MAX_IDLE_NON_IDEMPOTENT_MILLIS);
        }
        long now = clock.nowMillis();
        return idle.connection().isReusable()
                && now >= connections.noReuseUntilMillis
                && now - idle.idleSinceMillis() < maxIdleMillis;
    }

    /** Makes a connection available for reuse after an exchange. */
    void release(TargetRegistration target, HttpConnection connection) {
        if (connection.isReusable()) {
            byIncarnation
                    .computeIfAbsent(target.incarnation(), incarnation -> new IncarnationConnections())
                    .idleConnections
                    .addLast(new IdleConnection(connection, clock.nowMillis()));
        }
    }

    /** Closes connections that were idle for too long and idle connections to targets that are no longer in service. */
    void closeStale(Predicate<String> isInService) {
        long now = clock.nowMillis();
        byIncarnation.entrySet().removeIf(entry -> {
            IncarnationConnections connections = entry.getValue();
            boolean inService = isInService.test(entry.getKey());
            connections.idleConnections.removeIf(idle -> {
                boolean old = now - idle.idleSinceMillis()
                        > idle.connection().serverIdleTimeoutMillis() * IDLE_REUSE_FRACTION;
                if (!inService || old || !idle.connection().isReusable()) {
                    idle.connection().abort();
                    return true;
                }
                return false;
            });
            return !inService && connections.openCount == 0;
        });
    }
}
