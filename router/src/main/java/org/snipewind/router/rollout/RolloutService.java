package org.snipewind.router.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.rollout.RolloutDecision;
import org.snipewind.coordination.rollout.RolloutPhase;
import org.snipewind.coordination.rollout.RolloutRecord;
import org.snipewind.protocol.ReportAnswer;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.GuardedStore;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.PoolRollout;
import org.snipewind.router.state.RolloutRecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * The work of the leader for roll-outs: collects the evidence of the instances, decides, and writes the record together
 * with the status. Does nothing while this instance does not lead. Confined to the control event loop.
 */
public final class RolloutService {

    private static final long WRITE_RETRY_MILLIS = 250;

    /** Longest wait for a written record to arrive in the copy of the store before the next decision. */
    private static final long ARRIVAL_TIMEOUT_MILLIS = 1_000;

    private final CoordinationStore store;
    private final StoreCache cache;
    private final FleetTracker tracker;
    private final StoreItemParser documents;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final ProcessMetrics metrics;
    private final BooleanSupplier leading;
    private final Map<String, PoolRolloutLeader> pools = new HashMap<>();
    private final Map<String, Long> nextDecisionMillis = new HashMap<>();
    private final Map<String, Long> replacedRevisions = new HashMap<>();
    private boolean wasLeading;
    private long termStartMillis;

    /**
     * Creates the service of an instance that does not lead yet.
     *
     * @param store the store
     * @param cache local copy of the store's items
     * @param tracker provides the current fleet view
     * @param documents writes the status for the platform
     * @param clock clock of the roll-outs
     * @param log the event log
     * @param metrics counts the decisions
     * @param leading whether this instance may act as the leader
     */
    public RolloutService(
            CoordinationStore store,
            StoreCache cache,
            FleetTracker tracker,
            StoreItemParser documents,
            MillisClock clock,
            RouterEventLog log,
            ProcessMetrics metrics,
            BooleanSupplier leading) {
        this.store = new GuardedStore(store);
        this.cache = cache;
        this.tracker = tracker;
        this.documents = documents;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.leading = leading;
    }

    /** Decides about each roll-out and writes what has changed. */
    public void tick() {
        boolean leads = leading.getAsBoolean();
        if (leads && !wasLeading) {
            termStartMillis = clock.nowMillis();
            pools.clear();
            nextDecisionMillis.clear();
            replacedRevisions.clear();
        }
        wasLeading = leads;
        if (leads) {
            FleetView view = tracker.view();
            view.rollouts()
                    .forEach((pool, rollout) ->
                            new GuardedTask(log, "roll-out pool=" + pool, () -> tickPool(view, pool, rollout)).run());
        }
    }

    private void tickPool(FleetView view, String pool, PoolRollout rollout) {
        long now = clock.nowMillis();
        boolean configured = view.configuration()
                .flatMap(configuration -> configuration.pool(pool))
                .isPresent();
        boolean arrived = replacedRevisions.getOrDefault(pool, -1L) != rollout.recordRevision();
        boolean waiting = now < nextDecisionMillis.getOrDefault(pool, 0L);
        if (!configured || waiting && !(arrived && replacedRevisions.containsKey(pool))) {
            return;
        }
        nextDecisionMillis.remove(pool);
        replacedRevisions.remove(pool);
        poolLeader(pool).decide(view, rollout, now).ifPresent(decision -> write(pool, rollout, decision));
    }

    private PoolRolloutLeader poolLeader(String pool) {
        return pools.computeIfAbsent(pool, name -> new PoolRolloutLeader(name, termStartMillis));
    }

    private void write(String pool, PoolRollout rollout, RolloutDecision decision) {
        RolloutRecord next = decision.record();
        String recordKey = StoreKeys.ROLLOUT_PREFIX + pool;
        long revision = cache.item(recordKey).map(StoreItem::revision).orElse(0L);
        List<StoreWrite> writes = new ArrayList<>();
        writes.add(new StoreWrite(recordKey, revision, RolloutRecordCodec.encode(next), 0));
        if (!isSameStatus(rollout.record(), next)) {
            String statusKey = documents.rolloutStatusKey(pool);
            writes.add(new StoreWrite(
                    statusKey,
                    cache.item(statusKey).map(StoreItem::revision).orElse(0L),
                    documents.rolloutStatus(next.phase(), next.version()),
                    0));
        }
        // The next decision is based on the written record, which arrives with the changes of the store.
        nextDecisionMillis.put(pool, clock.nowMillis() + ARRIVAL_TIMEOUT_MILLIS);
        replacedRevisions.put(pool, rollout.recordRevision());
        store.commit(writes).whenComplete((written, failure) -> {
            if (failure == null) {
                cache.recordContact();
                logDecision(pool, rollout.record(), decision);
            } else {
                nextDecisionMillis.put(pool, clock.nowMillis() + WRITE_RETRY_MILLIS);
                log.write(
                        RouterEvent.STORE_CALL_FAILED,
                        () -> "call=write of a roll-out pool=" + pool + " phase=" + next.phase() + " cause="
                                + failure.getMessage());
            }
        });
    }

    private static boolean isSameStatus(Optional<RolloutRecord> former, RolloutRecord next) {
        return former.filter(each -> each.orderRevision() == next.orderRevision()
                        && each.phase().isInProgress()
                        && next.phase().isInProgress())
                .isPresent();
    }

    private void logDecision(String pool, Optional<RolloutRecord> former, RolloutDecision decision) {
        RolloutRecord next = decision.record();
        boolean refresh = former.filter(each -> each.orderRevision() == next.orderRevision()
                        && each.phase() == next.phase()
                        && each.share() == next.share())
                .isPresent();
        if (refresh) {
            return;
        }
        RouterEvent event = next.phase() == RolloutPhase.COMPLETED
                ? RouterEvent.ROLLOUT_COMPLETED
                : next.phase() == RolloutPhase.ROLLED_BACK
                        ? RouterEvent.ROLLOUT_ROLLED_BACK
                        : RouterEvent.ROLLOUT_ADVANCED;
        metrics.count("rollouts." + event.wireName().substring("rollout-".length()));
        log.write(
                event,
                () -> "pool=" + pool + " version=" + next.version() + " phase=" + next.phase() + " share="
                        + next.share() + " elapsed=" + next.elapsedMillis() + "ms duration=" + next.durationMillis()
                        + "ms reason=" + decision.reason());
    }

    /**
     * Records the report of an instance.
     *
     * @param processId id of the reporting process
     * @param message what it observed
     * @return whether this instance leads and accepted the report
     */
    public ReportAnswer handleReport(String processId, RolloutReport message) {
        if (!leading.getAsBoolean() || !wasLeading) {
            return new ReportAnswer(false);
        }
        Map<String, PoolRollout> known = tracker.view().rollouts();
        message.pools().stream()
                .filter(report -> known.containsKey(report.pool()))
                .forEach(report -> poolLeader(report.pool()).recordReport(processId, report, clock.nowMillis()));
        return new ReportAnswer(true);
    }
}
