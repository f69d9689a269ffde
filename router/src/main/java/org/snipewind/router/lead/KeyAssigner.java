package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.HolderCandidate;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyAssignmentPlanner;
import org.snipewind.coordination.keyspace.KeyMove;
import org.snipewind.coordination.keyspace.KeyRequestRates;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.KeyOwnershipClient;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Assigns the keys of one pool while this instance leads. A range changes its holder in three steps: the table with the
 * new and the previous holder is written to the store; the previous holder releases the keys, or its hold runs out; the
 * new holder gets them under a higher epoch. A successor finds each unfinished move in the table. Belongs to the
 * control loop.
 */
final class KeyAssigner {

    private static final long PLAN_MILLIS = 250;

    /** The first table waits until the list of targets has not changed for this time. */
    private static final long SETTLE_MILLIS = 1_500;

    private static final long RETRY_MILLIS = 250;

    /** Targets without measured answers are taken to need this time for a request. */
    private static final double DEFAULT_SERVICE_MILLIS = 60;

    private static final double TIMING_WEIGHT = 0.3;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String pool;
    private final StoreCache mirror;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final OwnershipRequestSender orders;
    private final KeyTableWriter writer;
    private final KeyRequestRates loads;
    private final Map<String, Double> serviceMillis = new HashMap<>();
    private final Map<String, HolderState> sessions = new HashMap<>();
    private final List<MoveTask> tasks = new ArrayList<>();
    private final BooleanSupplier leading;
    private final long formerGrantsUntilMillis;
    private KeyTable table = KeyTable.EMPTY;
    private long tableRevision;
    private long epoch;
    private boolean opened;
    private boolean writing;
    private boolean fenced;
    private long retryAtMillis;
    private long plannedAtMillis;
    private Set<String> lastTargets = Set.of();
    private long targetsSinceMillis;

    KeyAssigner(
            String pool,
            CoordinationStore store,
            StoreCache mirror,
            KeyOwnershipClient keyOrders,
            MillisClock clock,
            RouterEventLog log,
            BooleanSupplier leading,
            long formerUntilMillis) {
        this.pool = pool;
        this.mirror = mirror;
        this.clock = clock;
        this.log = log;
        this.leading = leading;
        this.orders = new OwnershipRequestSender(pool, keyOrders, clock, log, leading, () -> fenced = true);
        this.writer = new KeyTableWriter(store, mirror, StoreKeys.KEY_TABLE_PREFIX + pool);
        this.loads = new KeyRequestRates(clock);
        this.formerGrantsUntilMillis =
                formerUntilMillis + LeaderTimes.OWNERSHIP_REQUEST_TIMEOUT_MILLIS + LeaderTimes.longestHoldMillis();
        this.targetsSinceMillis = clock.nowMillis();
    }

    /** Counts requests for a key. */
    void count(int key, int requests) {
        loads.recordRequests(key, requests);
    }

    /** Takes a measured answer time into account. */
    void timing(String life, double meanMillis) {
        serviceMillis.merge(life, meanMillis, (known, newest) -> known + TIMING_WEIGHT * (newest - known));
    }

    /** Does what is due. */
    void tick(FleetView view) {
        long now = clock.nowMillis();
        if (!leading.getAsBoolean()) {
            return;
        }
        if (!opened) {
            if (!writing && now >= retryAtMillis) {
                open(view);
            }
            return;
        }
        updateSessions(view, now);
        orders.renew(table, tasks, sessions, this::isHeld, now);
        tasks.forEach(task -> orders.advance(task, sessions, now));
        if (!writing && now >= retryAtMillis) {
            writeChanges(view, now);
        }
    }

    /** Tells whether a range is still held as it was when its renewal was due. */
    private boolean isHeld(KeyAssignment range) {
        boolean settled = !range.isMoving()
                && table.find(range.from()).filter(range::equals).isPresent();
        return settled
                || tasks.stream()
                        .anyMatch(task -> task.isGranted()
                                && !task.isSuspended()
                                && task.assignment().equals(range));
    }

    /** Takes over the table of the former leader under an epoch that fences its orders off. */
    private void open(FleetView view) {
        String key = StoreKeys.KEY_TABLE_PREFIX + pool;
        KeyTable found = view.keyTables().getOrDefault(pool, KeyTable.EMPTY);
        long revision = mirror.item(key).map(item -> item.revision()).orElse(0L);
        epoch = Math.max(found.highestEpoch(), mirror.revision()) + 1;
        if (found.assignments().isEmpty()) {
            opened = true;
            tableRevision = revision;
            return;
        }
        write(withEpoch(found, epoch), revision, () -> {
            opened = true;
            addTasksOfTable();
        });
    }

    private static KeyTable withEpoch(KeyTable source, long newEpoch) {
        return new KeyTable(source.assignments().stream()
                .map(each -> new KeyAssignment(each.from(), each.to(), each.holder(), newEpoch, each.previousHolders()))
                .toList());
    }

    private void updateSessions(FleetView view, long now) {
        for (TargetState state : view.targets().values()) {
            TargetRegistration entry = state.registration();
            if (entry.pool().equals(pool)) {
                session(entry.incarnation()).update(entry);
            }
        }
        view.configuration()
                .flatMap(configuration -> configuration.pool(pool))
                .ifPresent(known -> sessions.values().stream()
                        .filter(session -> session.isProbeDue(now)
                                && view.findInService(session.life()).isPresent())
                        .forEach(session -> orders.probe(session, known.healthPath(), now)));
        Set<String> targets = new TreeSet<>();
        view.inService()
                .getOrDefault(pool, List.of())
                .forEach(state -> targets.add(state.registration().incarnation()));
        if (!targets.equals(lastTargets)) {
            lastTargets = targets;
            targetsSinceMillis = now;
        }
    }

    private HolderState session(String life) {
        // A life that the former leader may have served is free only after that leader's grants have ended.
        return sessions.computeIfAbsent(life, key -> new HolderState(key, formerGrantsUntilMillis));
    }

    private void writeChanges(FleetView view, long now) {
        KeyTable changed = table;
        List<MoveTask> finished = tasks.stream().filter(MoveTask::isGranted).toList();
        for (MoveTask task : finished) {
            KeyAssignment done = task.assignment();
            changed = changed.withAssignment(
                    new KeyAssignment(done.from(), done.to(), done.holder(), done.epoch(), List.of()));
        }
        List<KeyAssignment> moves = List.of();
        if (now - plannedAtMillis >= PLAN_MILLIS) {
            plannedAtMillis = now;
            moves = plan(changed, view, now);
            for (KeyAssignment move : moves) {
                changed = changed.withAssignment(move);
            }
        }
        boolean refenced = fenced;
        if (fenced) {
            epoch = Math.max(epoch, mirror.revision()) + 1;
            changed = withEpoch(changed, epoch);
            fenced = false;
        }
        if (finished.isEmpty() && moves.isEmpty() && !refenced) {
            return;
        }
        List<KeyAssignment> planned = moves;
        write(changed.compacted(), tableRevision, () -> written(finished, planned, refenced));
    }

    private void written(List<MoveTask> finished, List<KeyAssignment> moves, boolean refenced) {
        tasks.removeAll(finished);
        finished.forEach(task -> log.write(
                RouterEvent.KEYS_MOVED,
                () -> "pool=" + pool + " from=" + task.assignment().from() + " to="
                        + task.assignment().to() + " holder="
                        + task.assignment().holder() + " epoch="
                        + task.assignment().epoch() + " handover="
                        + task.handover().isPresent()));
        for (KeyAssignment move : moves) {
            tasks.stream().filter(task -> task.overlaps(move)).forEach(MoveTask::drop);
        }
        tasks.removeIf(MoveTask::isDropped);
        if (refenced) {
            // The tasks carry the refused epoch; the table has the same moves under the new one.
            tasks.forEach(MoveTask::drop);
            tasks.clear();
            addTasksOfTable();
        } else {
            moves.forEach(this::addTask);
        }
    }

    private void addTasksOfTable() {
        table.assignments().stream().filter(KeyAssignment::isMoving).forEach(this::addTask);
    }

    private void addTask(KeyAssignment moving) {
        long now = clock.nowMillis();
        MoveTask task = new MoveTask(moving);
        for (String life : moving.previousHolders()) {
            task.freeAt(life, session(life).freeAtMillis(now));
        }
        tasks.add(task);
        orders.advance(task, sessions, now);
    }

    private List<KeyAssignment> plan(KeyTable base, FleetView view, long now) {
        if (base.assignments().isEmpty() && now - targetsSinceMillis < SETTLE_MILLIS) {
            return List.of();
        }
        List<HolderCandidate> usable = new ArrayList<>();
        for (TargetState state : view.inService().getOrDefault(pool, List.of())) {
            String life = state.registration().incarnation();
            if (!session(life).isSilent(now)) {
                usable.add(new HolderCandidate(life, capacity(state), state.isColdStarting(now)));
            }
        }
        List<KeyMove> moves = KeyAssignmentPlanner.plan(base, usable, loads.rates());
        if (moves.isEmpty()) {
            return List.of();
        }
        epoch++;
        log.write(
                RouterEvent.KEYS_PLANNED,
                () -> "pool=" + pool + " epoch=" + epoch + " moves=" + moves.size() + " usable=" + usable.size()
                        + " ranges=" + base.assignments().size() + " first=" + moves.get(0));
        return moves.stream()
                .map(move -> new KeyAssignment(
                        move.from(), move.to(), move.destination(), epoch, possibleHolders(move, now)))
                .toList();
    }

    private double capacity(TargetState state) {
        double service = serviceMillis.getOrDefault(state.registration().incarnation(), DEFAULT_SERVICE_MILLIS);
        return Math.max(1, state.registration().slots()) * MILLIS_PER_SECOND / service;
    }

    /** Lists the lives that may hold keys of a range; moves that overlap it send no more orders. */
    private List<String> possibleHolders(KeyMove move, long now) {
        KeyAssignment range = new KeyAssignment(move.from(), move.to(), move.destination(), epoch, List.of());
        List<MoveTask> overlapping =
                tasks.stream().filter(task -> task.overlaps(range)).toList();
        overlapping.forEach(MoveTask::suspend);
        // The moves may cover only a part of the range, so the holder of the rest counts as well.
        Stream<String> holders = Stream.concat(
                move.source().stream(), overlapping.stream().flatMap(task -> task.possibleHolders(now).stream()));
        return holders.filter(life -> !life.equals(move.destination()))
                .distinct()
                .toList();
    }

    private void write(KeyTable changed, long expectedRevision, Runnable onWritten) {
        writing = true;
        writer.write(changed, expectedRevision).whenComplete((revision, failure) -> {
            writing = false;
            tasks.forEach(MoveTask::resume);
            if (failure == null) {
                table = changed;
                tableRevision = revision;
                onWritten.run();
                return;
            }
            retryAtMillis = clock.nowMillis() + RETRY_MILLIS;
            log.write(
                    RouterEvent.STORE_CALL_FAILED,
                    () -> "call=write of the table pool=" + pool + " revision=" + expectedRevision + " cause="
                            + failure.getMessage());
            if (opened && StoreException.kindOf(failure) == StoreException.Kind.CONFLICT) {
                // Another leader wrote; its table counts, under a new epoch if this instance still leads.
                opened = false;
                tasks.forEach(MoveTask::drop);
                tasks.clear();
            }
        });
    }
}
