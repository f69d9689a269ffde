package org.snipewind.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.RoleAssignment;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.RebalanceLimits;
import org.snipewind.coordination.ownership.SliceAssignmentPlanner;
import org.snipewind.coordination.ownership.SliceOwnership;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.coordination.ownership.TargetHealth;
import org.snipewind.coordination.ownership.TargetHealthReport;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.protocol.TargetCondition;
import org.snipewind.protocol.TargetReport;
import org.snipewind.protocol.TargetReportAnswer;

/** Writes the slice tables of the pools whose coordinator role this daemon holds. */
public final class PoolCoordinator {

    private static final double IMBALANCE_THRESHOLD = 1.2;
    // At most 1% of the slices per hour move for balance, since a slice is unavailable while it moves.
    private static final int MAX_MOVES_PER_HOUR = SliceTable.SLICE_COUNT / 100;
    private static final double MILLIS_PER_HOUR = 3_600_000.0;
    // The first table waits for reports on all targets, so that no slices have to move to targets that report late.
    private static final long FIRST_TABLE_WAIT_MILLIS = 2_000;

    private final MillisClock clock;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RoleRights rights;
    private final EventLog log;
    private final TargetReports reports = new TargetReports();
    private final Set<String> poolsBeingWritten = ConcurrentHashMap.newKeySet();
    // By pool, the token of the coordinator role for which no earlier table write can take effect any more.
    private final Map<String, Long> fencedTokens = new ConcurrentHashMap<>();
    private final Map<String, Long> absentSinceMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> firstTablePendingSinceMillis = new ConcurrentHashMap<>();
    private final Map<String, Double> moveAllowances = new ConcurrentHashMap<>();
    private long lastRunMillis;

    /**
     * Creates a coordinator.
     *
     * @param clock the clock
     * @param records records of this daemon
     * @param updater writes slice tables
     * @param rights rights of this daemon
     * @param log the event log
     */
    public PoolCoordinator(
            MillisClock clock, RecordCache records, RecordUpdater updater, RoleRights rights, EventLog log) {
        this.clock = clock;
        this.records = records;
        this.updater = updater;
        this.rights = rights;
        this.log = log;
        this.lastRunMillis = clock.nowMillis();
    }

    /**
     * Handles a supervisor's report about a target.
     *
     * @param sender id of the supervisor
     * @param report the report
     * @return whether every later plan takes the report into account, and the table version that precedes those plans
     */
    public TargetReportAnswer handleTargetReport(String sender, TargetReport report) {
        RoleAssignment assignment = records.fleet().roles().get(RoleNames.target(report.target()));
        long knownToken = assignment == null ? 0 : assignment.token();
        String pool = report.pool();
        Optional<Long> token = rights.activeToken(RoleNames.pool(pool));
        synchronized (reports) {
            // A supervisor with a newer token may have learned of its role before this daemon has.
            boolean newest = report.token() >= knownToken && reports.add(report);
            boolean accepted = newest
                    && token.isPresent()
                    && token.get().equals(fencedTokens.get(pool))
                    && !poolsBeingWritten.contains(pool);
            return new TargetReportAnswer(accepted, records.table(pool).version());
        }
    }

    /** Plans the tables of the pools that this daemon coordinates, and writes those that need a change. */
    public void run() {
        long now = clock.nowMillis();
        double addedMoves = MAX_MOVES_PER_HOUR * (now - lastRunMillis) / MILLIS_PER_HOUR;
        lastRunMillis = now;
        records.configuration()
                .ifPresent(revision -> revision.configuration().pools().forEach((name, pool) -> {
                    if (pool.divided()
                            && rights.activeToken(RoleNames.pool(name)).isPresent()) {
                        moveAllowances.merge(
                                name, addedMoves, (left, added) -> Math.min(MAX_MOVES_PER_HOUR, left + added));
                        fenceOrPlan(revision.configuration(), name, pool);
                    } else {
                        firstTablePendingSinceMillis.remove(name);
                        fencedTokens.remove(name);
                    }
                }));
    }

    private void fenceOrPlan(FleetConfiguration configuration, String name, PoolSettings pool) {
        Optional<Long> token = rights.activeToken(RoleNames.pool(name));
        if (token.isEmpty()) {
            return;
        }
        if (token.get().equals(fencedTokens.get(name)) || records.table(name).version() == 0) {
            fencedTokens.put(name, token.get());
            plan(configuration, name, pool);
        } else if (poolsBeingWritten.add(name)) {
            // A write of the predecessor, or a write of this daemon with an unknown outcome, may still be in transit to
            // the store. Writing a new version makes it fail.
            updater.update(RecordType.table(name), PoolCoordinator::withNextVersion)
                    .whenComplete((written, failure) -> {
                        if (failure == null) {
                            fencedTokens.put(name, token.get());
                        }
                        poolsBeingWritten.remove(name);
                    });
        }
    }

    private static Optional<SliceTable> withNextVersion(SliceTable current, String writer) {
        return Optional.of(new SliceTable(current.pool(), current.version() + 1, writer, current.slices()));
    }

    private void plan(FleetConfiguration configuration, String name, PoolSettings pool) {
        SliceTable table = records.table(name);
        Map<String, TargetHealthReport> healthByTarget;
        synchronized (reports) {
            healthByTarget = healthReports(configuration, pool, table);
            if (!poolsBeingWritten.add(name)) {
                return;
            }
        }
        boolean started = false;
        try {
            started = write(configuration, name, pool, table, healthByTarget);
        } finally {
            if (!started) {
                poolsBeingWritten.remove(name);
            }
        }
    }

    /** Starts to write the next table if it differs from the current one, and returns whether a write was started. */
    private boolean write(
            FleetConfiguration configuration,
            String name,
            PoolSettings pool,
            SliceTable table,
            Map<String, TargetHealthReport> healthByTarget) {
        if (table.version() == 0 && isTooEarlyForFirstTable(name, configuration, pool, healthByTarget)) {
            return false;
        }
        Map<Integer, Long> load = reports.loadBySlice(pool.targets().keySet());
        RebalanceLimits limits = new RebalanceLimits(
                IMBALANCE_THRESHOLD, moveAllowances.getOrDefault(name, 0.0).intValue());
        if (SliceAssignmentPlanner.plan(table, healthByTarget, load, limits, "").isEmpty()) {
            return false;
        }
        updater.update(
                        RecordType.table(name),
                        (current, writer) -> SliceAssignmentPlanner.plan(current, healthByTarget, load, limits, writer))
                .whenComplete((written, failure) -> {
                    if (RecordUpdater.isOutcomeUnknown(failure)) {
                        fencedTokens.remove(name);
                    }
                    poolsBeingWritten.remove(name);
                    if (failure == null && written) {
                        onTableWritten(name, table, healthByTarget);
                    }
                });
        return true;
    }

    private void onTableWritten(String name, SliceTable before, Map<String, TargetHealthReport> healthByTarget) {
        SliceTable after = records.table(name);
        int moved = 0;
        int balanceMoves = 0;
        for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
            Optional<String> owner = before.slices().get(slice).owner();
            if (!after.slices().get(slice).owner().equals(owner)) {
                moved++;
                boolean ownerLive = owner.map(healthByTarget::get)
                        .filter(report -> report.health() == TargetHealth.LIVE)
                        .isPresent();
                balanceMoves += ownerLive ? 1 : 0;
            }
        }
        int usedMoves = balanceMoves;
        moveAllowances.computeIfPresent(name, (pool, left) -> Math.max(0, left - usedMoves));
        log.write(LogEvent.TABLE_WRITTEN, "pool " + name + " version " + after.version() + " moved " + moved);
    }

    private boolean isTooEarlyForFirstTable(
            String name,
            FleetConfiguration configuration,
            PoolSettings pool,
            Map<String, TargetHealthReport> healthByTarget) {
        long sinceMillis = firstTablePendingSinceMillis.computeIfAbsent(name, key -> clock.nowMillis());
        boolean allLive = pool.targets().entrySet().stream()
                .filter(entry -> configuration.isInService(entry.getValue()))
                .allMatch(entry -> healthByTarget.get(entry.getKey()).health() == TargetHealth.LIVE);
        return !allLive && clock.nowMillis() - sinceMillis < FIRST_TABLE_WAIT_MILLIS;
    }

    private Map<String, TargetHealthReport> healthReports(
            FleetConfiguration configuration, PoolSettings pool, SliceTable table) {
        FleetRecord fleet = records.fleet();
        Map<String, TargetHealthReport> healthByTarget = new HashMap<>();
        pool.targets()
                .forEach((target, settings) ->
                        healthByTarget.put(target, healthReport(fleet, configuration, target, settings)));
        for (SliceOwnership slice : table.slices()) {
            slice.owner().ifPresent(target -> addUnconfigured(fleet, pool, healthByTarget, target));
            slice.releasing().ifPresent(target -> addUnconfigured(fleet, pool, healthByTarget, target));
        }
        return healthByTarget;
    }

    private TargetHealthReport healthReport(
            FleetRecord fleet, FleetConfiguration configuration, String target, TargetSettings settings) {
        RoleAssignment assignment = fleet.roles().get(RoleNames.target(target));
        Optional<TargetReport> report =
                reports.find(target).filter(known -> assignment != null && assignment.token() <= known.token());
        TargetHealth health = report.map(known -> healthOf(known.condition())).orElse(TargetHealth.SUSPECTED);
        if (health == TargetHealth.LIVE && !configuration.isInService(settings)) {
            health = TargetHealth.LEAVING;
        }
        return new TargetHealthReport(
                target, health, report.map(TargetReport::releasedVersion).orElse(0L));
    }

    /**
     * Adds a target that owns slices but is not configured. It counts as lost once it has been without a supervisor for
     * long enough that its last grant has expired and its last request has ended.
     */
    private void addUnconfigured(
            FleetRecord fleet, PoolSettings pool, Map<String, TargetHealthReport> healthByTarget, String target) {
        if (healthByTarget.containsKey(target)) {
            return;
        }
        if (fleet.roles().containsKey(RoleNames.target(target))) {
            absentSinceMillis.remove(target);
            healthByTarget.put(target, new TargetHealthReport(target, TargetHealth.SUSPECTED, 0));
            return;
        }
        long sinceMillis = absentSinceMillis.computeIfAbsent(target, key -> clock.nowMillis());
        long waitMillis =
                FleetTimes.GRANT_LIFETIME_MILLIS + FleetTimes.CLOCK_ERROR_MILLIS + pool.longestDeadlineMillis();
        boolean expired = clock.nowMillis() - sinceMillis > waitMillis;
        healthByTarget.put(
                target, new TargetHealthReport(target, expired ? TargetHealth.LOST : TargetHealth.SUSPECTED, 0));
    }

    private static TargetHealth healthOf(TargetCondition condition) {
        return switch (condition) {
            case LIVE -> TargetHealth.LIVE;
            case LOST -> TargetHealth.LOST;
            case SUSPECTED -> TargetHealth.SUSPECTED;
            case DRAINING -> TargetHealth.LEAVING;
        };
    }
}
