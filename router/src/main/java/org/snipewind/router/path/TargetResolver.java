package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.snipewind.coordination.admission.QueueAllowance;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.Candidates;
import org.snipewind.coordination.target.ConnectionQuota;
import org.snipewind.coordination.target.DataCentreSelector;
import org.snipewind.coordination.target.LeastResponseTimeSelector.ScoreObserver;
import org.snipewind.coordination.target.Selection;
import org.snipewind.coordination.target.SpilloverReason;
import org.snipewind.coordination.target.SpilloverRequest;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.state.FleetView;

/**
 * Finds the target of a request: the owner of its key or, in an undivided pool, the available target with the shortest
 * expected response time. Confined to the worker's event loop.
 */
final class TargetResolver {

    /** Time after which callers should retry if a key has no holder or its holder is unresponsive. */
    static final long OWNER_RETRY_AFTER_MILLIS = 500;

    /** Time after which callers should retry if a pool has no available target. */
    static final long POOL_RETRY_AFTER_MILLIS = 200;

    /**
     * Least time in which keys move from a target that is leaving: the leader plans, writes the table and waits for the
     * work in progress.
     */
    private static final long LEAST_MOVE_MILLIS = 250;

    /** Longest wait for a key that is moving to a new holder; most moves take less than half of this time. */
    private static final long MAX_OWNER_WAIT_MILLIS = 400;

    /** Most requests that may wait for each slot of a target; in longer queues they would exceed their deadlines. */
    private static final double MAX_QUEUED_PER_SLOT = 2.5;

    private final RoutingContext context;
    private final TargetConnections connections;
    private final DataCentreSelector selector;
    private final ColdStartPermits takenPermits;
    private final ColdStartPermits untouchedPermits;

    TargetResolver(RoutingContext context, TargetConnections connections, DataCentreSelector selector) {
        this.context = context;
        this.connections = connections;
        this.selector = selector;
        this.takenPermits = ColdStartPermits.taken(context.sharedState());
        this.untouchedPermits = ColdStartPermits.untouched(context.sharedState());
    }

    /** Returns how long a request waits at most for the owner of its key; the rest of its time is for processing it. */
    static long maxOwnerWaitMillis(long remainingMillis) {
        return Math.min(MAX_OWNER_WAIT_MILLIS, remainingMillis / 2);
    }

    /**
     * Selects a target of an undivided pool.
     *
     * @param pool the pool
     * @param triedIncarnations incarnations of targets that are not selected again
     * @param nonIdempotent whether the request must not run twice
     * @param allowance limit on the queue of the target
     * @param spillover determines whether the request may leave the data centre of this instance
     * @return the target, or the reason why there is none
     */
    Either<NoTarget, TargetState> selectFromPool(
            Pool pool,
            Set<String> triedIncarnations,
            boolean nonIdempotent,
            QueueAllowance allowance,
            SpilloverRequest spillover) {
        Choice choice = new Choice(
                candidates ->
                        selector.choose(spillover, candidates, context.clock().nowMillis()),
                takenPermits,
                ScoreObserver.NONE);
        return selectFromPool(pool, triedIncarnations, nonIdempotent, allowance, choice)
                .peek(selection -> selection.spillover().ifPresent(this::countSpillover))
                .map(Selection::target);
    }

    /**
     * Finds the target that a request would be sent to, and why each other one is passed over. Changes nothing and
     * takes no permit.
     *
     * @param pool an undivided pool
     * @param nonIdempotent whether the request must not run twice
     * @param allowance limit on the queue of the target
     * @param spillover determines whether the request may leave the data centre of this instance
     * @return the target or the reason why there is none, and all targets of the pool
     */
    PoolExplanation explainPool(
            Pool pool, boolean nonIdempotent, QueueAllowance allowance, SpilloverRequest spillover) {
        Map<TargetState, Double> scores = new HashMap<>();
        Choice choice = new Choice(
                candidates ->
                        selector.preview(spillover, candidates, context.clock().nowMillis()),
                untouchedPermits,
                scores::put);
        Either<NoTarget, TargetState> result =
                selectFromPool(pool, Set.of(), nonIdempotent, allowance, choice).map(Selection::target);
        FleetView view = context.tracker().view();
        long nowMillis = context.clock().nowMillis();
        List<PoolExplanation.ExplainedTarget> targets = view.targets().values().stream()
                .filter(target -> target.registration().pool().equals(pool.name()))
                .sorted(Comparator.comparing(TargetState::incarnation))
                .map(target -> new PoolExplanation.ExplainedTarget(
                        target,
                        target.expectedResponseMillis(nowMillis),
                        Optional.ofNullable(scores.get(target)),
                        result.fold(none -> false, chosen -> chosen == target)
                                ? "selected"
                                : reasonAgainst(pool, target, nowMillis, view, allowance, scores.containsKey(target))))
                .toList();
        return new PoolExplanation(result, targets);
    }

    private String reasonAgainst(
            Pool pool, TargetState target, long nowMillis, FleetView view, QueueAllowance allowance, boolean compared) {
        if (target.registration().draining()) {
            return "draining";
        }
        if (view.evacuatedDataCentres().contains(target.registration().dataCentre())) {
            return "its data centre is evacuated";
        }
        if (isLeaving(target)) {
            return "leaving";
        }
        Suitability suitability =
                suitability(pool, target, nowMillis, connectionLimit(pool, view), allowance, untouchedPermits);
        if (suitability != Suitability.SUITABLE) {
            return suitability.description();
        }
        if (compared) {
            return "not the lowest score";
        }
        return target.isPaused(nowMillis) ? "avoided after failures" : "not compared, enough others are";
    }

    /** How a target is chosen: for a request that is to be sent, or only to explain the choice. */
    private record Choice(
            Function<Candidates, Optional<Selection>> selection, ColdStartPermits permits, ScoreObserver observer) {}

    private Either<NoTarget, Selection> selectFromPool(
            Pool pool, Set<String> triedIncarnations, boolean nonIdempotent, QueueAllowance allowance, Choice choice) {
        FleetView view = context.tracker().view();
        long nowMillis = context.clock().nowMillis();
        int limit = connectionLimit(pool, view);
        Predicate<TargetState> suitable = target ->
                suitability(pool, target, nowMillis, limit, allowance, choice.permits()) == Suitability.SUITABLE;
        List<TargetState> targets = context.sharedState()
                .versions()
                .candidates(pool.name(), inServiceTargets(pool, view), triedIncarnations.isEmpty(), suitable);
        Candidates candidates = new Candidates(
                targets,
                target -> !triedIncarnations.contains(target.incarnation()) && suitable.test(target),
                target -> connections.hasIdleConnection(target.registration(), nonIdempotent),
                choice.observer());
        Optional<Selection> selection = choice.selection().apply(candidates);
        Optional<TargetState> chosen = selection.map(Selection::target);
        long leastPauseMillis =
                targets.stream().mapToLong(this::pauseRemainingMillis).min().orElse(0);
        if (leastPauseMillis > 0) {
            boolean waitHelps = targets.stream().anyMatch(target -> !triedIncarnations.contains(target.incarnation()));
            return NoTarget.awaitEndOfPause(leastPauseMillis, waitHelps, "targets=" + targets.size() + " pausing");
        }
        if (targets.isEmpty()) {
            return NoTarget.refuse(ErrorKind.POOL_UNAVAILABLE, POOL_RETRY_AFTER_MILLIS, "targets=0");
        }
        if (chosen.isEmpty()) {
            double untilRoomMillis = Double.MAX_VALUE;
            for (TargetState target : targets) {
                if (!triedIncarnations.contains(target.incarnation())) {
                    untilRoomMillis =
                            Math.min(untilRoomMillis, millisUntilRoom(pool, target, nowMillis, limit, allowance));
                }
            }
            String detail = "targets=" + targets.size() + " tried=" + triedIncarnations.size();
            return NoTarget.withoutRoom(untilRoomMillis, Optional.empty(), 0, detail);
        }
        if (exceedsColdStartRate(pool, chosen.get(), nowMillis, choice.permits())) {
            return NoTarget.withoutRoom(
                    context.sharedState().coldStartLimiter(pool, chosen.get()).millisUntilPermit(),
                    Optional.empty(),
                    0,
                    "cold-start rate limit reached target="
                            + chosen.get().registration().id());
        }
        return Either.right(selection.get());
    }

    private void countSpillover(SpilloverReason reason) {
        context.metrics().count("requests.other-data-centre." + reason.wireName());
    }

    /**
     * Selects a target of an undivided pool for a second attempt: one that is free, responds at its usual speed and is
     * not in a cold start, in the own data centre if there is one.
     *
     * @param pool the pool
     * @param triedIncarnations incarnations of targets that are not selected again
     * @param allowance limit on the queue of the target
     * @return the target, empty if there is none
     */
    Optional<TargetState> selectForSecondAttempt(Pool pool, Set<String> triedIncarnations, QueueAllowance allowance) {
        FleetView view = context.tracker().view();
        long nowMillis = context.clock().nowMillis();
        List<TargetState> targets = context.sharedState()
                .versions()
                .candidates(pool.name(), inServiceTargets(pool, view), false, target -> true);
        int limit = connectionLimit(pool, view);
        Predicate<TargetState> suitable = target -> !triedIncarnations.contains(target.incarnation())
                && target.isFree(nowMillis)
                && !target.isPaused(nowMillis)
                && !target.isColdStarting(nowMillis)
                && !context.tracker().notices().isResuming(target.incarnation())
                && suitability(pool, target, nowMillis, limit, allowance, takenPermits) == Suitability.SUITABLE;
        Predicate<TargetState> connected = target -> connections.hasIdleConnection(target.registration(), false);
        return selector.chooseNearest(new Candidates(targets, suitable, connected), nowMillis);
    }

    private Suitability suitability(
            Pool pool,
            TargetState target,
            long nowMillis,
            int connectionLimit,
            QueueAllowance allowance,
            ColdStartPermits permits) {
        if (pauseRemainingMillis(target) > 0) {
            return Suitability.PAUSING;
        }
        if (!hasRoom(target, nowMillis, allowance)) {
            return Suitability.NO_ROOM;
        }
        if (!connections.hasCapacity(target.registration(), connectionLimit)) {
            return Suitability.NO_CONNECTION;
        }
        return isPaced(pool, target, nowMillis) && !permits.available().test(pool, target)
                ? Suitability.COLD_START_RATE
                : Suitability.SUITABLE;
    }

    /** Returns the least time until a request may be sent to a target; an open connection counts as a response. */
    private double millisUntilRoom(
            Pool pool, TargetState target, long nowMillis, int connectionLimit, QueueAllowance allowance) {
        double untilRoomMillis = target.millisUntilRoom(
                nowMillis,
                allowance.allowedMillis(),
                MAX_QUEUED_PER_SLOT * allowance.lengthFactor(),
                context.tracker().view().fleetSize());
        if (!connections.hasCapacity(target.registration(), connectionLimit)) {
            untilRoomMillis = Math.max(untilRoomMillis, target.meanServiceMillis());
        }
        if (isPaced(pool, target, nowMillis)) {
            long untilPermitMillis =
                    context.sharedState().coldStartLimiter(pool, target).millisUntilPermit();
            untilRoomMillis = Math.max(untilRoomMillis, untilPermitMillis);
        }
        return Math.max(untilRoomMillis, pauseRemainingMillis(target));
    }

    private boolean hasRoom(TargetState target, long nowMillis, QueueAllowance allowance) {
        return target.hasRoom(
                nowMillis,
                allowance.allowedMillis(),
                MAX_QUEUED_PER_SLOT * allowance.lengthFactor(),
                context.tracker().view().fleetSize());
    }

    private boolean isLeaving(TargetState target) {
        return context.tracker().notices().isLeaving(target.incarnation());
    }

    private long pauseRemainingMillis(TargetState target) {
        return context.tracker().notices().pauseRemainingMillis(target.incarnation());
    }

    /** Returns whether requests to a target are limited to the rate of a cold start, as they are after a pause. */
    private boolean isPaced(Pool pool, TargetState target, long nowMillis) {
        return target.isColdStarting(nowMillis)
                || pool.coldStartRatePerSecond() > 0
                        && context.tracker().notices().isResuming(target.incarnation());
    }

    /** Acquires a permit of the cold-start rate limit; returns true if a target that is paced has none left. */
    private boolean exceedsColdStartRate(Pool pool, TargetState target, long nowMillis, ColdStartPermits permits) {
        return isPaced(pool, target, nowMillis) && !permits.acquire().test(pool, target);
    }

    /** Returns the number of connections that this instance may have to each target of a pool. */
    static int connectionLimit(Pool pool, FleetView view) {
        return ConnectionQuota.limit(pool.maxConnections(), view.fleetSize());
    }

    /**
     * Finds the target that owns a key, and takes one of its permits if it is in cold start.
     *
     * @param pool the pool
     * @param key the key
     * @param allowance limit on the queue of the owner
     * @return the owner, or the reason why the request can't be sent to it
     */
    Either<NoTarget, TargetState> resolveOwner(Pool pool, int key, QueueAllowance allowance) {
        return resolveOwner(pool, key, allowance, takenPermits).peek(this::countIfElsewhere);
    }

    /** Finds the owner like {@link #resolveOwner(Pool, int, QueueAllowance)}, but takes no permit. */
    Either<NoTarget, TargetState> explainOwner(Pool pool, int key, QueueAllowance allowance) {
        return resolveOwner(pool, key, allowance, untouchedPermits);
    }

    private Either<NoTarget, TargetState> resolveOwner(
            Pool pool, int key, QueueAllowance allowance, ColdStartPermits permits) {
        return findOwner(pool, key, allowance)
                .flatMap(owner ->
                        exceedsColdStartRate(pool, owner, context.clock().nowMillis(), permits)
                                ? NoTarget.withoutRoom(
                                        context.sharedState()
                                                .coldStartLimiter(pool, owner)
                                                .millisUntilPermit(),
                                        Optional.of(owner),
                                        0,
                                        "key=" + key + " cold=true")
                                : Either.right(owner));
    }

    private void countIfElsewhere(TargetState owner) {
        if (!owner.registration().dataCentre().equals(context.dataCentre())) {
            countSpillover(SpilloverReason.OWNER_ELSEWHERE);
        }
    }

    /**
     * Finds the target that owns a key.
     *
     * @param pool the pool
     * @param key the key
     * @param allowance limit on the queue of the owner
     * @return the owner, or the reason why a request can't be sent to it, other than its cold start
     */
    Either<NoTarget, TargetState> findOwner(Pool pool, int key, QueueAllowance allowance) {
        FleetView view = context.tracker().view();
        long nowMillis = context.clock().nowMillis();
        Optional<KeyAssignment> assignment =
                view.keyTables().getOrDefault(pool.name(), KeyTable.EMPTY).find(key);
        if (assignment.isEmpty() || assignment.get().isMoving()) {
            return awaitMove(pool, view, 0, "key=" + key + " moving=" + assignment.isPresent());
        }
        KeyAssignment owner = assignment.get();
        Optional<TargetState> target = view.findInService(owner.holder());
        if (context.tracker().notices().isLeaving(owner.holder())) {
            return awaitMove(pool, view, LEAST_MOVE_MILLIS, "key=" + key + " holder=" + owner.holder() + " is leaving");
        }
        if (target.isEmpty()) {
            return awaitMove(pool, view, 0, "key=" + key + " holder=" + owner.holder() + " is not in service");
        }
        TargetState state = target.get();
        if (!context.sharedState().versions().mayUse(state)) {
            return awaitMove(pool, view, LEAST_MOVE_MILLIS, "key=" + key + " version of the holder is not in use");
        }
        long pauseMillis = pauseRemainingMillis(state);
        if (pauseMillis > 0) {
            return NoTarget.awaitEndOfPause(
                    pauseMillis, true, "key=" + key + " holder=" + owner.holder() + " pause=" + pauseMillis + "ms");
        }
        String detail = "key=" + key + " holder=" + owner.holder() + " epoch=" + owner.epoch() + " in-flight="
                + state.inFlight() + " expected=" + Math.round(state.expectedResponseMillis(nowMillis)) + "ms";
        if (state.isUnresponsive(nowMillis)) {
            return NoTarget.refuse(ErrorKind.TARGET_UNREACHABLE, OWNER_RETRY_AFTER_MILLIS, detail);
        }
        int limit = connectionLimit(pool, view);
        if (!hasRoom(state, nowMillis, allowance) || !connections.hasCapacity(state.registration(), limit)) {
            return NoTarget.withoutRoom(
                    millisUntilRoom(pool, state, nowMillis, limit, allowance),
                    Optional.of(state),
                    state.millisUntilRoom(nowMillis, allowance.allowedMillis()),
                    detail);
        }
        return Either.right(state);
    }

    /** Has a request wait for its key to move, unless no target of the pool is in service that could get the key. */
    private Either<NoTarget, TargetState> awaitMove(Pool pool, FleetView view, long leastWaitMillis, String detail) {
        return inServiceTargets(pool, view).isEmpty()
                ? NoTarget.refuse(ErrorKind.OWNER_UNAVAILABLE, OWNER_RETRY_AFTER_MILLIS, detail + " targets=0")
                : NoTarget.awaitOwner(leastWaitMillis, detail);
    }

    private List<TargetState> inServiceTargets(Pool pool, FleetView view) {
        return view.inService().getOrDefault(pool.name(), List.of()).stream()
                .filter(target -> !isLeaving(target))
                .toList();
    }
}
