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
    // At most 1% of the slices an hour move for balance, since a move costs unavailable time.
    private static final int MOVES_PER_HOUR = SliceTable.SLICE_COUNT / 100;
    private static final double MILLIS_PER_HOUR = 3_600_000.0;
    // The first table waits for all targets, so that the ones that report late need no moves.
    private static final long FIRST_TABLE_WAIT_MILLIS = 2_000;

    private final MillisClock clock;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RoleRights rights;
    private final EventLog log;
    private final TargetReports reports = new TargetReports();
    private final Set<String> writing = ConcurrentHashMap.newKeySet();
    // Token of the coordinator role under which no earlier write can take effect any more, by pool.
    private final Map<String, Long> fencedTokens = new ConcurrentHashMap<>();
    private final Map<String, Long> absentSince = new ConcurrentHashMap<>();
    private final Map<String, Long> pendingSince = new ConcurrentHashMap<>();
    private final Map<String, Double> movesLeft = new ConcurrentHashMap<>();
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
     * Takes a supervisor's report.
     *
     * @param sender id of the supervisor
     * @param report the report
     * @return whether all later plans take the report into account, and the table version that then counts
     */
    public TargetReportAnswer handleTargetReport(String sender, TargetReport report) {
        RoleAssignment assignment = records.fleet().roles().get(RoleNames.target(report.target()));
        long knownToken = assignment == null ? 0 : assignment.token();
        String pool = report.pool();
        Optional<Long> token = rights.activeToken(RoleNames.pool(pool));
        synchronized (reports) {
            // A supervisor with a newer token may know of its role before this daemon does.
            boolean newest = report.token() >= knownToken && reports.add(report);
            boolean accepted = newest
                    && token.isPresent()
                    && token.get().equals(fencedTokens.get(pool))
                    && !writing.contains(pool);
            return new TargetReportAnswer(accepted, records.table(pool).version());
        }
    }

    /** Plans and writes the tables that need a change. */
    public void run() {
        long now = clock.nowMillis();
        double earned = MOVES_PER_HOUR * (now - lastRunMillis) / MILLIS_PER_HOUR;
        lastRunMillis = now;
        records.configuration()
                .ifPresent(revision -> revision.configuration().pools().forEach((name, pool) -> {
                    if (pool.divided()
                            && rights.activeToken(RoleNames.pool(name)).isPresent()) {
                        movesLeft.merge(name, earned, (left, added) -> Math.min(MOVES_PER_HOUR, left + added));
                        fenceOrPlan(revision.configuration(), name, pool);
                    } else {
                        pendingSince.remove(name);
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
        } else if (writing.add(name)) {
            // A write of the predecessor, or one of this daemon whose effect is not known, may still be on its way to
            // the store. A new version makes it fail.
            updater.update(RecordType.table(name), PoolCoordinator::renewed).whenComplete((written, failure) -> {
                if (failure == null) {
                    fencedTokens.put(name, token.get());
                }
                writing.remove(name);
            });
        }
    }

    private static Optional<SliceTable> renewed(SliceTable current, String writer) {
        return Optional.of(new SliceTable(current.pool(), current.version() + 1, writer, current.slices()));
    }

    private void plan(FleetConfiguration configuration, String name, PoolSettings pool) {
        SliceTable table = records.table(name);
        Map<String, TargetHealthReport> views;
        synchronized (reports) {
            views = views(configuration, pool, table);
            if (!writing.add(name)) {
                return;
            }
        }
        boolean began = false;
        try {
            began = write(configuration, name, pool, table, views);
        } finally {
            if (!began) {
                writing.remove(name);
            }
        }
    }

    /** Writes the next table, if there is one, and tells whether a write began. */
    private boolean write(
            FleetConfiguration configuration,
            String name,
            PoolSettings pool,
            SliceTable table,
            Map<String, TargetHealthReport> views) {
        if (table.version() == 0 && isFirstTableEarly(name, configuration, pool, views)) {
            return false;
        }
        Map<Integer, Long> load = reports.loadOf(pool.targets().keySet());
        RebalanceLimits limits = new RebalanceLimits(
                IMBALANCE_THRESHOLD, movesLeft.getOrDefault(name, 0.0).intValue());
        if (SliceAssignmentPlanner.plan(table, views, load, limits, "").isEmpty()) {
            return false;
        }
        updater.update(
                        RecordType.table(name),
                        (current, writer) -> SliceAssignmentPlanner.plan(current, views, load, limits, writer))
                .whenComplete((written, failure) -> {
                    if (RecordUpdater.isOutcomeUnknown(failure)) {
                        fencedTokens.remove(name);
                    }
                    writing.remove(name);
                    if (failure == null && written) {
                        noteWritten(name, table, views);
                    }
                });
        return true;
    }

    private void noteWritten(String name, SliceTable before, Map<String, TargetHealthReport> views) {
        SliceTable after = records.table(name);
        int moved = 0;
        int balanceMoves = 0;
        for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
            Optional<String> owner = before.slices().get(slice).owner();
            if (!after.slices().get(slice).owner().equals(owner)) {
                moved++;
                boolean ownerLive = owner.map(views::get)
                        .filter(view -> view.health() == TargetHealth.LIVE)
                        .isPresent();
                balanceMoves += ownerLive ? 1 : 0;
            }
        }
        int spent = balanceMoves;
        movesLeft.computeIfPresent(name, (pool, left) -> Math.max(0, left - spent));
        log.write(LogEvent.TABLE_WRITTEN, "pool " + name + " version " + after.version() + " moved " + moved);
    }

    private boolean isFirstTableEarly(
            String name, FleetConfiguration configuration, PoolSettings pool, Map<String, TargetHealthReport> views) {
        long since = pendingSince.computeIfAbsent(name, key -> clock.nowMillis());
        boolean allLive = pool.targets().entrySet().stream()
                .filter(entry -> configuration.isInService(entry.getValue()))
                .allMatch(entry -> views.get(entry.getKey()).health() == TargetHealth.LIVE);
        return !allLive && clock.nowMillis() - since < FIRST_TABLE_WAIT_MILLIS;
    }

    private Map<String, TargetHealthReport> views(
            FleetConfiguration configuration, PoolSettings pool, SliceTable table) {
        FleetRecord fleet = records.fleet();
        Map<String, TargetHealthReport> views = new HashMap<>();
        pool.targets().forEach((target, settings) -> views.put(target, view(fleet, configuration, target, settings)));
        for (SliceOwnership slice : table.slices()) {
            slice.owner().ifPresent(target -> addUnlisted(fleet, pool, views, target));
            slice.releasing().ifPresent(target -> addUnlisted(fleet, pool, views, target));
        }
        return views;
    }

    private TargetHealthReport view(
            FleetRecord fleet, FleetConfiguration configuration, String target, TargetSettings settings) {
        RoleAssignment assignment = fleet.roles().get(RoleNames.target(target));
        Optional<TargetReport> report =
                reports.find(target).filter(known -> assignment != null && assignment.token() <= known.token());
        TargetHealth standing = report.map(known -> standing(known.condition())).orElse(TargetHealth.SUSPECTED);
        if (standing == TargetHealth.LIVE && !configuration.isInService(settings)) {
            standing = TargetHealth.LEAVING;
        }
        return new TargetHealthReport(
                target, standing, report.map(TargetReport::releasedVersion).orElse(0L));
    }

    /** A target outside the configuration is lost once its last grant and requests have ended without a supervisor. */
    private void addUnlisted(
            FleetRecord fleet, PoolSettings pool, Map<String, TargetHealthReport> views, String target) {
        if (views.containsKey(target)) {
            return;
        }
        if (fleet.roles().containsKey(RoleNames.target(target))) {
            absentSince.remove(target);
            views.put(target, new TargetHealthReport(target, TargetHealth.SUSPECTED, 0));
            return;
        }
        long since = absentSince.computeIfAbsent(target, key -> clock.nowMillis());
        long wait = FleetTimes.GRANT_LIFETIME_MILLIS + FleetTimes.CLOCK_ERROR_MILLIS + pool.longestDeadlineMillis();
        boolean ended = clock.nowMillis() - since > wait;
        views.put(target, new TargetHealthReport(target, ended ? TargetHealth.LOST : TargetHealth.SUSPECTED, 0));
    }

    private static TargetHealth standing(TargetCondition condition) {
        return switch (condition) {
            case LIVE -> TargetHealth.LIVE;
            case LOST -> TargetHealth.LOST;
            case SUSPECTED -> TargetHealth.SUSPECTED;
            case DRAINING -> TargetHealth.LEAVING;
        };
    }
}
