package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.HttpConnection;
import org.snipewind.router.http.HttpConnector;
import org.snipewind.router.metrics.RouterMetrics;

/** Kept connections of one worker to the targets, at most a fixed number to each; belongs to the worker's loop. */
final class TargetConnections {

    /** In a data centre a connection takes a few milliseconds; a lost packet is not worth its long retransmission. */
    private static final int CONNECT_MILLIS = 200;

    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    /** A connection is used again only if it was idle for less than this part of the target's idle time. */
    private static final double IDLE_PART = 0.6;

    /** Targets may forget idle connections early; work that must not be repeated is put only on fresh ones. */
    private static final long IDLE_MILLIS_ONCE_ONLY = 3_000;

    private record Idle(HttpConnection connection, long sinceMillis) {}

    /** The connections to one life of a target. */
    private static final class Kept {
        private final Deque<Idle> idle = new ArrayDeque<>();
        private int open;
    }

    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterMetrics metrics;
    private final Map<String, Kept> byLife = new HashMap<>();

    TargetConnections(EventLoop loop, MillisClock clock, RouterMetrics metrics) {
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Tells whether a request could be sent to the target now. */
    boolean hasRoom(TargetRegistration target, int limit) {
        Kept kept = byLife.get(target.incarnation());
        return kept == null || !kept.idle.isEmpty() || kept.open < limit;
    }

    /** Tells whether a connection to the target is kept that a request could use now. */
    boolean isKept(TargetRegistration target, boolean onceOnly) {
        Kept kept = byLife.get(target.incarnation());
        return kept != null && !kept.idle.isEmpty() && isFresh(kept.idle.peekLast(), onceOnly);
    }

    /** Gives a connection that is not in use; must be given back or aborted. */
    void acquire(
            TargetRegistration target, boolean onceOnly, Consumer<HttpConnection> opened, Consumer<Throwable> refused) {
        Kept kept = byLife.computeIfAbsent(target.incarnation(), life -> new Kept());
        Optional<HttpConnection> idle = takeIdle(kept, onceOnly);
        if (idle.isPresent()) {
            metrics.count("connections.reused");
            opened.accept(idle.get());
            return;
        }
        kept.open++;
        metrics.count("connections.opened");
        HttpConnector.open(
                loop,
                new InetSocketAddress(target.host(), target.port()),
                CONNECT_MILLIS,
                MAX_ANSWER_BYTES,
                () -> kept.open--,
                opened,
                cause -> {
                    kept.open--;
                    metrics.count("connections.refused");
                    refused.accept(cause);
                });
    }

    private Optional<HttpConnection> takeIdle(Kept kept, boolean onceOnly) {
        while (!kept.idle.isEmpty()) {
            Idle newest = kept.idle.pollLast();
            if (isFresh(newest, onceOnly)) {
                return Optional.of(newest.connection());
            }
            newest.connection().abort();
        }
        return Optional.empty();
    }

    private boolean isFresh(Idle idle, boolean onceOnly) {
        double allowed = idle.connection().idleMillis() * IDLE_PART;
        if (onceOnly) {
            allowed = Math.min(allowed, IDLE_MILLIS_ONCE_ONLY);
        }
        return idle.connection().isReusable() && clock.nowMillis() - idle.sinceMillis() < allowed;
    }

    /** Takes a connection back after an exchange. */
    void giveBack(TargetRegistration target, HttpConnection connection) {
        if (connection.isReusable()) {
            byLife.computeIfAbsent(target.incarnation(), life -> new Kept())
                    .idle
                    .addLast(new Idle(connection, clock.nowMillis()));
        }
    }

    /** Closes idle connections that are too old, and those to lives that are not listed any more. */
    void tidy(Predicate<String> isListed) {
        long now = clock.nowMillis();
        byLife.entrySet().removeIf(entry -> {
            Kept kept = entry.getValue();
            boolean listed = isListed.test(entry.getKey());
            kept.idle.removeIf(each -> {
                boolean old = now - each.sinceMillis() > each.connection().idleMillis() * IDLE_PART;
                if (!listed || old || !each.connection().isReusable()) {
                    each.connection().abort();
                    return true;
                }
                return false;
            });
            return !listed && kept.open == 0;
        });
    }
}
