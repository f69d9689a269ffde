package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyEpochs;
import org.snipewind.coordination.keyspace.KeyMove;
import org.snipewind.coordination.keyspace.KeyPlanner;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.keyspace.PoolTarget;
import org.snipewind.coordination.restore.RestorationRules;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.coordination.rollout.HolderShare;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.KeyOwnershipClient;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Assigns the keys of one pool to targets while this instance leads.
 *
 * <p>A range of keys moves to a new holder in three steps: the table with the new and the previous holder is written to
 * the store; the previous holder releases the keys, or its grant expires; the new holder is granted the keys under a
 * higher epoch. A successor of this leader finds each unfinished move in the table.
 *
 * <p>If the store is restored from an older copy, another leader and its table may have been lost, and its grants may
 * be in force for some time. Until then, a new leader does nothing, and this one only renews the grants of its own
 * table and ends its own moves under their epochs, after it has written that table again.
 *
 * <p>Confined to the control event loop.
 */
final class KeyAssigner {

    private static final long PLAN_INTERVAL_MILLIS = 250;

    /** The first assignment is planned once the targets in service have not changed for this time. */
    private static final long STABLE_TARGETS_MILLIS = 1_500;

    private static final long WRITE_RETRY_DELAY_MILLIS = 250;

    /**
     * Number of instances beyond which the usual load is divided by capacity. Each target of smaller fleets gets enough
     * requests for its momentary load to show whether its keys suit it.
     */
    private static final int MAX_FLEET_WITHOUT_BALANCE = 20;

    private final String pool;
    private final StoreCache cache;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final OwnershipRequestSender requestSender;
    private final KeyTableWriter tableWriter;
    private final KeyPlanner planner;
    private final Map<String, HolderState> holders = new HashMap<>();
    private final List<MoveTask> tasks = new ArrayList<>();
    private final BooleanSupplier leading;
    private final long formerGrantsExpireAtMillis;

    /** Era of the store in which the table was last written. */
    private long tableEra;

    private KeyTable table = KeyTable.EMPTY;
    private long tableRevision;
    private long epoch;
    private boolean tableTakenOver;
    private boolean writeInProgress;
    private boolean epochsNeeded;
    private long retryAtMillis;
    private long plannedAtMillis;
    private Set<String> lastTargetsInService = Set.of();
    private long targetsUnchangedSinceMillis;

    KeyAssigner(
            String pool,
            CoordinationStore store,
            StoreCache cache,
            KeyOwnershipClient ownershipClient,
            MillisClock clock,
            RouterEventLog log,
            BooleanSupplier leading,
            long formerLeaderUntilMillis) {
        this.pool = pool;
        this.cache = cache;
        this.clock = clock;
        this.log = log;
        this.leading = leading;
        // A series of renewals must not go on either before the table is in a restored store.
        this.requestSender = new OwnershipRequestSender(
                pool,
                ownershipClient,
                clock,
                log,
                () -> leading.getAsBoolean() && !isTableLost(),
                () -> table.highestEpoch(),
                () -> epochsNeeded = true);
        this.tableWriter = new KeyTableWriter(store, cache, StoreKeys.KEY_TABLE_PREFIX + pool);
        this.planner = new KeyPlanner(clock);
        this.formerGrantsExpireAtMillis = formerLeaderUntilMillis
                + LeaderTimes.OWNERSHIP_REQUEST_TIMEOUT_MILLIS
                + LeaderTimes.maxGrantLifetimeMillis();
        this.targetsUnchangedSinceMillis = clock.nowMillis();
    }

    /** Counts requests for a key. */
    void recordRequests(int key, int requests) {
        planner.recordRequests(key, requests);
    }

    /** Updates the average service time of a target with the mean of a number of responses. */
    void recordServiceTime(String incarnation, int responses, double meanMillis) {
        planner.recordServiceTime(incarnation, responses, meanMillis);
    }

    /** Sends the ownership requests that are due, and plans and writes changes of the table. */
    void tick(FleetView view) {
        long now = clock.nowMillis();
        if (!leading.getAsBoolean()) {
            return;
        }
        if (!tableTakenOver) {
            if (!writeInProgress && now >= retryAtMillis && !mayLostGrantsBeInForce(now) && cache.isOfPresentEra()) {
                takeOverTable(view);
            }
            return;
        }
        if (isTableLost()) {
            if (!writeInProgress && now >= retryAtMillis && cache.isOfPresentEra()) {
                writeTableAgain();
            }
            return;
        }
        updateHolders(view, now);
        // The address of a target without an entry may be another one's by now, and its keys get no requests.
        requestSender.renewGrants(
                table,
                tasks,
                holders,
                range -> isStillHeld(range)
                        && view.findRegistered(range.holder()).isPresent(),
                now);
        tasks.forEach(task -> requestSender.advanceMove(task, holders, now));
        if (!writeInProgress && now >= retryAtMillis) {
            writeChanges(view, now);
        }
    }

    /** Returns whether grants of a leader of an earlier era, whose table the store has lost, may be in force. */
    private boolean mayLostGrantsBeInForce(long now) {
        return now < cache.eras().earlierRightsEndMillis(LeaderTimes.earlierEraRightsMillis());
    }

    /** Returns whether the store was restored from an older copy since the table was written. */
    private boolean isTableLost() {
        return tableEra < cache.eras().era();
    }

    /** Writes the table to the restored store, unless another leader has written a later one there. */
    private void writeTableAgain() {
        Optional<StoreItem> stored = cache.item(StoreKeys.KEY_TABLE_PREFIX + pool);
        long storedEpoch = stored.flatMap(item -> RecordCodec.decodeKeyTable(item.value()))
                .map(KeyTable::highestEpoch)
                .orElse(0L);
        if (table.assignments().isEmpty() || storedEpoch > epoch) {
            dropTable();
            return;
        }
        write(
                table,
                stored.map(StoreItem::revision).orElse(0L),
                () -> log.write(
                        RouterEvent.KEYS_WRITTEN_AGAIN,
                        () -> "pool=" + pool + " epoch=" + epoch + " revision=" + tableRevision + " ranges="
                                + table.assignments().size()));
    }

    /** Gives the table up; if this instance still leads, it takes the stored one over under a new epoch. */
    private void dropTable() {
        tableTakenOver = false;
        tasks.forEach(MoveTask::cancel);
        tasks.clear();
    }

    /** Returns whether a range still has the holder and epoch that it had when its renewal became due. */
    private boolean isStillHeld(KeyAssignment range) {
        boolean unchanged = !range.isMoving()
                && table.find(range.from()).filter(range::equals).isPresent();
        return unchanged
                || tasks.stream()
                        .anyMatch(task -> task.isGranted()
                                && !task.isSuspended()
                                && task.assignment().equals(range));
    }

    /** Takes over the former leader's table under a higher epoch, so that targets reject that leader's requests. */
    private void takeOverTable(FleetView view) {
        KeyTable formerTable = view.keyTables().getOrDefault(pool, KeyTable.EMPTY);
        long revision = cache.item(StoreKeys.KEY_TABLE_PREFIX + pool)
                .map(item -> item.revision())
                .orElse(0L);
        epoch = KeyEpochs.nextWritten(Math.max(formerTable.highestEpoch(), cache.revision()) + 1);
        if (formerTable.assignments().isEmpty()) {
            tableTakenOver = true;
            tableEra = cache.eras().era();
            tableRevision = revision;
            return;
        }
        write(formerTable.withEpoch(epoch), revision, () -> {
            tableTakenOver = true;
            resumeUnfinishedMoves();
        });
    }

    private void updateHolders(FleetView view, long now) {
        for (TargetState state : view.targets().values()) {
            TargetRegistration registration = state.registration();
            if (registration.pool().equals(pool)) {
                holder(registration.incarnation()).updateRegistration(registration);
            }
        }
        view.configuration()
                .flatMap(configuration -> configuration.pool(pool))
                .ifPresent(known -> requestSender.probeFailing(
                        holders.values(),
                        holder -> view.findInService(holder.incarnation()).isPresent(),
                        known.healthPath(),
                        now));
        Set<String> targets = view.inService().getOrDefault(pool, List.of()).stream()
                .map(TargetState::incarnation)
                .collect(Collectors.toSet());
        if (!targets.equals(lastTargetsInService)) {
            lastTargetsInService = targets;
            targetsUnchangedSinceMillis = now;
        }
    }

    private HolderState holder(String incarnation) {
        // The former leader may have granted keys to this incarnation, so it may hold keys until those grants expire.
        return holders.computeIfAbsent(incarnation, key -> new HolderState(key, formerGrantsExpireAtMillis));
    }

    private void writeChanges(FleetView view, long now) {
        KeyTable changed = table;
        List<MoveTask> finished = tasks.stream().filter(MoveTask::isGranted).toList();
        for (MoveTask task : finished) {
            changed = changed.withAssignment(task.assignment().settled());
        }
        List<KeyAssignment> moves = List.of();
        boolean mayChangeHolders = !mayLostGrantsBeInForce(now);
        if (mayChangeHolders && now - plannedAtMillis >= PLAN_INTERVAL_MILLIS) {
            plannedAtMillis = now;
            moves = plan(changed, view, now);
            for (KeyAssignment move : moves) {
                changed = changed.withAssignment(move);
            }
        }
        // A target that has seen a higher epoch may have released keys to another holder by order of a lost leader.
        boolean epochRaised = epochsNeeded && mayChangeHolders;
        if (epochRaised) {
            epoch = KeyEpochs.nextWritten(Math.max(epoch, cache.revision()) + 1);
            changed = changed.withEpoch(epoch);
            epochsNeeded = false;
        }
        if (finished.isEmpty() && moves.isEmpty() && !epochRaised) {
            return;
        }
        List<KeyAssignment> planned = moves;
        write(changed.compacted(), tableRevision, () -> onChangesWritten(finished, planned, epochRaised));
    }

    private void onChangesWritten(List<MoveTask> finished, List<KeyAssignment> moves, boolean epochRaised) {
        tasks.removeAll(finished);
        finished.forEach(task -> log.write(
                RouterEvent.KEYS_MOVED,
                () -> "pool=" + pool + " from=" + task.assignment().from() + " to="
                        + task.assignment().to() + " holder="
                        + task.assignment().holder() + " epoch="
                        + task.assignment().epoch() + " handover="
                        + task.handover().isPresent()));
        for (KeyAssignment move : moves) {
            tasks.stream().filter(task -> task.overlaps(move)).forEach(MoveTask::cancel);
        }
        tasks.removeIf(MoveTask::isCancelled);
        if (epochRaised) {
            // The tasks have the rejected epoch; the table contains the same moves under the new one.
            tasks.forEach(MoveTask::cancel);
            tasks.clear();
            resumeUnfinishedMoves();
        } else {
            moves.forEach(this::startMove);
        }
    }

    private void resumeUnfinishedMoves() {
        table.assignments().stream().filter(KeyAssignment::isMoving).forEach(this::startMove);
    }

    private void startMove(KeyAssignment assignment) {
        long now = clock.nowMillis();
        MoveTask task = new MoveTask(assignment);
        for (String incarnation : assignment.previousHolders()) {
            task.setGrantExpiry(incarnation, holder(incarnation).latestGrantExpiryMillis(now));
        }
        tasks.add(task);
        requestSender.advanceMove(task, holders, now);
    }

    private List<KeyAssignment> plan(KeyTable base, FleetView view, long now) {
        if (base.assignments().isEmpty() && now - targetsUnchangedSinceMillis < STABLE_TARGETS_MILLIS) {
            return List.of();
        }
        planner.retainTargets(view.targets().values().stream()
                .filter(state -> state.registration().pool().equals(pool))
                .map(TargetState::incarnation)
                .collect(Collectors.toSet()));
        HolderShare rolloutShare = RolloutHolders.share(pool, view);
        List<PoolTarget> usable = view.inService().getOrDefault(pool, List.of()).stream()
                .filter(state -> rolloutShare.factor(state) > 0
                        && !holder(state.incarnation()).isUnresponsive(now))
                .map(state -> new PoolTarget(
                        state.incarnation(),
                        state.registration().slots(),
                        state.isColdStarting(now),
                        rolloutShare.factor(state)))
                .toList();
        double coldStartRate = view.configuration()
                .flatMap(configuration -> configuration.pool(pool))
                .map(Pool::coldStartRatePerSecond)
                .orElse(0.0);
        List<KeyMove> balancing =
                planner.plan(base, usable, coldStartRate, view.fleetSize() > MAX_FLEET_WITHOUT_BALANCE);
        List<KeyMove> moves = rolloutShare.orIntroduce(balancing, base, planner.recentRates());
        if (moves.isEmpty()) {
            return List.of();
        }
        epoch = KeyEpochs.nextWritten(
                RestorationRules.nextEpoch(epoch, cache.eras().era()));
        log.write(
                RouterEvent.KEYS_PLANNED,
                () -> "pool=" + pool + " epoch=" + epoch + " moves=" + moves.size() + " usable=" + usable.size()
                        + " ranges=" + base.assignments().size() + " first=" + moves.get(0));
        return moves.stream()
                .map(move -> new KeyAssignment(
                        move.from(), move.to(), move.destination(), epoch, possibleHolders(move, now)))
                .toList();
    }

    /** Returns the incarnations that may hold keys of a range, and suspends the moves that overlap it. */
    private List<String> possibleHolders(KeyMove move, long now) {
        KeyAssignment range = new KeyAssignment(move.from(), move.to(), move.destination(), epoch, List.of());
        List<MoveTask> overlapping =
                tasks.stream().filter(task -> task.overlaps(range)).toList();
        overlapping.forEach(MoveTask::suspend);
        // The overlapping moves may cover only a part of the range, so the holder of the rest is included.
        Stream<String> incarnations = Stream.concat(
                move.source().stream(), overlapping.stream().flatMap(task -> task.possibleHolders(now).stream()));
        return incarnations
                .filter(incarnation -> !incarnation.equals(move.destination()))
                .distinct()
                .toList();
    }

    private void write(KeyTable changed, long expectedRevision, Runnable onWritten) {
        writeInProgress = true;
        tableWriter.write(changed, expectedRevision).whenComplete((revision, failure) -> {
            writeInProgress = false;
            tasks.forEach(MoveTask::resume);
            if (failure == null) {
                table = changed;
                tableRevision = revision;
                tableEra = StorePosition.eraOf(revision);
                onWritten.run();
                return;
            }
            retryAtMillis = clock.nowMillis() + WRITE_RETRY_DELAY_MILLIS;
            log.write(
                    RouterEvent.STORE_CALL_FAILED,
                    () -> "call=write of the table pool=" + pool + " revision=" + expectedRevision + " cause="
                            + failure.getMessage());
            if (tableTakenOver && !isTableLost() && StoreException.kindOf(failure) == StoreException.Kind.CONFLICT) {
                // Another leader wrote the table.
                dropTable();
            }
        });
    }
}
