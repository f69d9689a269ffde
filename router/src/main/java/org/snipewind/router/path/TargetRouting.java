package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.ConnectionQuota;
import org.snipewind.coordination.target.LeastResponseTimeSelector;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.state.FleetView;

/**
 * Finds the target of a request: the owner of its key, or a fit target of an undivided pool. Belongs to the worker's
 * loop.
 */
final class TargetRouting {

    /** A caller is told to come back after this time if keys have no holder or their holder does not answer. */
    static final long OWNER_RETRY_MILLIS = 500;

    /** A caller is told to come back after this time if a pool has no target for it. */
    static final long POOL_RETRY_MILLIS = 200;

    /** Waiting requests for each slot of a target that are accepted; longer queues only grow old. */
    private static final double QUEUE_FACTOR = 2.5;

    /**
     * Why there is no target now.
     *
     * @param kind what the caller is told
     * @param retryAfterMillis when to come back
     * @param inputs what decided it, for the log
     * @param ownerMayCome whether the key is about to get a holder, so that a short wait may help
     */
    record Unrouted(ErrorKind kind, long retryAfterMillis, String inputs, boolean ownerMayCome) {

        private static <T> Either<Unrouted, T> refuse(ErrorKind kind, long retryAfterMillis, String inputs) {
            return Either.left(new Unrouted(kind, retryAfterMillis, inputs, false));
        }

        private static <T> Either<Unrouted, T> awaitOwner(String inputs) {
            return Either.left(new Unrouted(ErrorKind.OWNER_UNAVAILABLE, OWNER_RETRY_MILLIS, inputs, true));
        }
    }

    private final RoutingContext context;
    private final TargetConnections connections;
    private final LeastResponseTimeSelector chooser;

    TargetRouting(RoutingContext context, TargetConnections connections, LeastResponseTimeSelector chooser) {
        this.context = context;
        this.connections = connections;
        this.chooser = chooser;
    }

    /** Chooses a target of an undivided pool, apart from the lives that were tried. */
    Either<Unrouted, TargetState> toPool(Pool pool, Set<String> tried, boolean onceOnly) {
        FleetView view = context.tracker().view();
        long now = context.clock().nowMillis();
        List<TargetState> targets = view.inService().getOrDefault(pool.name(), List.of());
        int limit = connectionLimit(pool, view);
        Optional<TargetState> chosen = chooser.choose(
                targets,
                now,
                target -> !tried.contains(target.registration().incarnation()) && canTake(pool, target, now, limit),
                target -> connections.isKept(target.registration(), onceOnly));
        if (chosen.isEmpty()) {
            return Unrouted.refuse(
                    targets.isEmpty() ? ErrorKind.POOL_UNAVAILABLE : ErrorKind.OVERLOADED,
                    POOL_RETRY_MILLIS,
                    "targets=" + targets.size() + " tried=" + tried.size());
        }
        if (isOverPace(pool, chosen.get(), now)) {
            return Unrouted.refuse(
                    ErrorKind.OVERLOADED,
                    POOL_RETRY_MILLIS,
                    "cold target=" + chosen.get().registration().id());
        }
        return Either.right(chosen.get());
    }

    private boolean canTake(Pool pool, TargetState target, long now, int limit) {
        return !target.isFull(now, QUEUE_FACTOR)
                && connections.hasRoom(target.registration(), limit)
                && (!target.isColdStarting(now)
                        || context.sharedState().pace(pool, target).canAcquire());
    }

    /** Takes a part of a cold target's pace; tells whether there is none left. */
    private boolean isOverPace(Pool pool, TargetState target, long now) {
        return target.isColdStarting(now)
                && !context.sharedState().pace(pool, target).tryAcquire();
    }

    private static int connectionLimit(Pool pool, FleetView view) {
        return ConnectionQuota.limit(pool.maxConnections(), view.fleetSize());
    }

    /** Finds the owner of a key. */
    Either<Unrouted, TargetState> toOwner(Pool pool, int key) {
        FleetView view = context.tracker().view();
        long now = context.clock().nowMillis();
        Optional<KeyAssignment> assignment =
                view.keyTables().getOrDefault(pool.name(), KeyTable.EMPTY).find(key);
        if (assignment.isEmpty() || assignment.get().isMoving()) {
            return Unrouted.awaitOwner("key=" + key + " moving=" + assignment.isPresent());
        }
        KeyAssignment owner = assignment.get();
        Optional<TargetState> target = view.findInService(owner.holder());
        if (target.isEmpty()) {
            return Unrouted.awaitOwner("key=" + key + " holder=" + owner.holder() + " is not in service");
        }
        TargetState state = target.get();
        String inputs = "key=" + key + " holder=" + owner.holder() + " epoch=" + owner.epoch() + " in-flight="
                + state.inFlight() + " expected=" + Math.round(state.expectedResponseMillis(now)) + "ms";
        if (state.isUnresponsive(now)) {
            return Unrouted.refuse(ErrorKind.TARGET_UNREACHABLE, OWNER_RETRY_MILLIS, inputs);
        }
        if (state.isFull(now, QUEUE_FACTOR)
                || !connections.hasRoom(state.registration(), connectionLimit(pool, view))) {
            return Unrouted.refuse(ErrorKind.OVERLOADED, (long) state.meanResponseMillis(), inputs);
        }
        if (isOverPace(pool, state, now)) {
            return Unrouted.refuse(ErrorKind.OVERLOADED, POOL_RETRY_MILLIS, inputs + " cold=true");
        }
        return Either.right(state);
    }
}
