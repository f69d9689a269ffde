package org.snipewind.router.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.rollout.RolloutDecision;
import org.snipewind.coordination.rollout.RolloutEvidence;
import org.snipewind.coordination.rollout.RolloutRecord;
import org.snipewind.coordination.rollout.RolloutSituation;
import org.snipewind.coordination.rollout.RolloutStateMachine;
import org.snipewind.coordination.rollout.VersionTally;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.PoolRollout;

/** What a leader knows of the roll-out of one pool during its term. Confined to the control event loop. */
final class PoolRolloutLeader {

    /** Time of a term after which each instance had two chances to report. */
    private static final long EVIDENCE_AFTER_MILLIS = 900;

    /** Age up to which the report of an instance tells of its present state. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    private record Received(RolloutReport.PoolReport report, long atMillis) {}

    private final String pool;
    private final long termStartMillis;
    private final Map<String, Received> reports = new HashMap<>();
    private Optional<RolloutRecord> trackedRecord = Optional.empty();
    private boolean tracking;
    private long phaseSinceMillis;
    private long phaseRevision;
    private RolloutEvidence baseline = RolloutEvidence.NONE;

    PoolRolloutLeader(String pool, long termStartMillis) {
        this.pool = pool;
        this.termStartMillis = termStartMillis;
    }

    /** Replaces the report of an instance. */
    void recordReport(String processId, RolloutReport.PoolReport report, long nowMillis) {
        reports.put(processId, new Received(report, nowMillis));
    }

    /** Decides the next step by the view and the reports. */
    Optional<RolloutDecision> decide(FleetView view, PoolRollout rollout, long nowMillis) {
        RolloutEvidence total = evidence(rollout);
        trackPhase(rollout, total, nowMillis);
        String version = rollout.order()
                .map(order -> order.version())
                .or(() -> rollout.record().map(RolloutRecord::version))
                .orElse("");
        Map<Boolean, List<TargetState>> byIntroduced = view.inService().getOrDefault(pool, List.of()).stream()
                .collect(Collectors.partitioningBy(
                        target -> target.registration().version().equals(version)));
        Set<String> otherVersions = byIntroduced.get(false).stream()
                .map(target -> target.registration().version())
                .collect(Collectors.toSet());
        boolean evidenceCurrent = nowMillis - termStartMillis >= EVIDENCE_AFTER_MILLIS;
        return RolloutStateMachine.next(
                rollout.order(),
                rollout.record(),
                new RolloutSituation(
                        rollout.elapsedMillis(nowMillis),
                        nowMillis - phaseSinceMillis,
                        total,
                        total.minus(baseline),
                        evidenceCurrent,
                        byIntroduced.get(true).size(),
                        otherVersions,
                        isSettled(view, rollout, version, nowMillis)));
    }

    /** Notes the beginning of a phase. A record from before this term is judged by all evidence. */
    private void trackPhase(PoolRollout rollout, RolloutEvidence total, long nowMillis) {
        boolean samePhase = tracking
                && trackedRecord
                        .map(RolloutRecord::phase)
                        .equals(rollout.record().map(RolloutRecord::phase))
                && trackedRecord
                        .map(RolloutRecord::share)
                        .equals(rollout.record().map(RolloutRecord::share))
                && trackedRecord
                        .map(RolloutRecord::orderRevision)
                        .equals(rollout.record().map(RolloutRecord::orderRevision));
        if (!samePhase) {
            baseline = tracking ? total : RolloutEvidence.NONE;
            phaseSinceMillis = nowMillis;
            phaseRevision = rollout.recordRevision();
        }
        trackedRecord = rollout.record();
        tracking = true;
    }

    private RolloutEvidence evidence(PoolRollout rollout) {
        Map<String, VersionTally> introduced = new HashMap<>();
        Map<String, VersionTally> others = new HashMap<>();
        rollout.order()
                .ifPresent(order -> reports.values().stream()
                        .map(Received::report)
                        .filter(report -> report.orderRevision() == order.revision())
                        .flatMap(report -> report.routes().stream())
                        .forEach(count -> (count.version().equals(order.version()) ? introduced : others)
                                .merge(
                                        count.route(),
                                        new VersionTally(
                                                count.requests(), count.bad(), count.timed(), count.serviceMillis()),
                                        VersionTally::plus)));
        return new RolloutEvidence(introduced, others);
    }

    /** Returns whether no instance uses another version any more, by its report, and no target of one holds keys. */
    private boolean isSettled(FleetView view, PoolRollout rollout, String version, long nowMillis) {
        boolean confirmed = view.members().values().stream()
                .map(MemberRecord::processId)
                .allMatch(processId -> Optional.ofNullable(reports.get(processId))
                        .filter(received -> nowMillis - received.atMillis() <= REPORT_VALID_MILLIS)
                        .map(Received::report)
                        .filter(report -> rollout.order()
                                .filter(order -> order.revision() == report.orderRevision())
                                .isPresent())
                        .filter(report -> report.recordRevision() >= phaseRevision && report.othersInFlight() == 0)
                        .isPresent());
        return confirmed
                && view.keyTables().getOrDefault(pool, KeyTable.EMPTY).assignments().stream()
                        .flatMap(range -> Stream.concat(Stream.of(range.holder()), range.previousHolders().stream()))
                        .map(view::findRegistered)
                        .flatMap(Optional::stream)
                        .allMatch(target -> target.registration().version().equals(version));
    }
}
