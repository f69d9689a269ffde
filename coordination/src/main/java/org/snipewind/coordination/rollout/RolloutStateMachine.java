package org.snipewind.coordination.rollout;

import java.util.List;
import java.util.Optional;

/**
 * Decides the next phase of a roll-out.
 *
 * <p>Times are fractions of the ordered duration. A canary and a short ramp expose about 0.05 of the requests of the
 * whole duration plus 20; a bad version may get 0.1 plus 50. The rest is for a fault that begins under full load, which
 * is noticed after about 0.6 s.
 */
public final class RolloutStateMachine {

    /** Share of the canary until the rate of requests is known. */
    static final double INITIAL_SHARE = 0.03;

    /** Share of the canary at any rate of requests. */
    private static final double LEAST_CANARY_SHARE = 0.03;

    private static final double MAX_CANARY_SHARE = 0.2;

    /** Requests that the canary gets beyond its least share; they are a part of the allowance of 50. */
    private static final double CANARY_REQUESTS = 20;

    /** Time after which the rate of requests is known well enough to adjust the share of the canary. */
    private static final long RATE_KNOWN_AFTER_MILLIS = 2_000;

    private static final double CANARY_END = 0.45;

    /** End of the canary if its samples are too few to compare service times. */
    private static final double LATEST_CANARY_END = 0.55;

    private static final List<Double> RAMP_SHARES = List.of(0.08, 0.16, 0.35);

    /** A step of the ramp must raise the share by this factor at least. */
    private static final double LEAST_STEP_FACTOR = 1.3;

    private static final double STEP_TIME = 0.05;
    private static final double LATEST_STEP_TIME = 0.07;

    /** Requests of the new version that a step needs. */
    private static final long STEP_REQUESTS = 15;

    /** Progress after which the steps of the ramp take the least time, because a change of the leader took some. */
    private static final double BEHIND_AFTER = 0.65;

    /** Least time of a step, in which each instance reports once. */
    private static final long LEAST_STEP_MILLIS = 450;

    /** Progress at which all requests go to the new version unless there is a sign of a fault. */
    private static final double LATEST_FULL = 0.8;

    /** Progress at which this is done even if the leader has no evidence yet. */
    private static final double LATEST_FULL_WITHOUT_EVIDENCE = 0.9;

    private static final double FULL_TIME = 0.1;
    private static final double LATEST_FULL_TIME = 0.14;

    /** Progress at which a version without targets is given up. */
    private static final double LATEST_ARRIVAL = 0.93;

    /** Progress at which the roll-out is completed without the confirmation of instances that do not respond. */
    private static final double LATEST_COMPLETION = 0.95;

    /** Age of the record after which its elapsed time is written again, for a leader that did not see the order. */
    private static final long RECORD_REFRESH_MILLIS = 2_000;

    private RolloutStateMachine() {}

    /**
     * Decides the next step.
     *
     * @param order the order of the pool, empty if there is none
     * @param record the record of the pool, empty if there never was a roll-out
     * @param situation what the leader knows about the roll-out
     * @return the record to write, or empty if nothing changes
     */
    public static Optional<RolloutDecision> next(
            Optional<RolloutOrder> order, Optional<RolloutRecord> record, RolloutSituation situation) {
        boolean inProgress = record.map(each -> each.phase().isInProgress()).orElse(false);
        if (order.isEmpty()) {
            return record.filter(each -> inProgress).map(each -> rollBack(each, situation, "the order was withdrawn"));
        }
        RolloutOrder ordered = order.get();
        boolean sameOrder = record.filter(each -> each.orderRevision() == ordered.revision())
                .isPresent();
        if (!inProgress) {
            return sameOrder ? Optional.empty() : Optional.of(takeUp(ordered, record, situation));
        }
        if (sameOrder) {
            return judge(record.get(), situation);
        }
        return Optional.of(
                record.get().version().equals(ordered.version())
                        ? takeUp(ordered, record, situation)
                        : rollBack(record.get(), situation, "another version was ordered"));
    }

    private static RolloutDecision takeUp(
            RolloutOrder order, Optional<RolloutRecord> former, RolloutSituation situation) {
        List<String> rejected = former.map(RolloutRecord::rejected).orElse(List.of()).stream()
                .filter(version -> !version.equals(order.version()))
                .toList();
        List<String> replaced = situation.otherVersions().stream()
                .filter(version -> !rejected.contains(version))
                .sorted()
                .toList();
        RolloutRecord started = new RolloutRecord(
                order.version(),
                order.revision(),
                RolloutPhase.CANARY,
                INITIAL_SHARE,
                order.durationMillis(),
                situation.elapsedMillis(),
                replaced,
                rejected);
        return replaced.isEmpty() && situation.introducedTargets() > 0
                ? new RolloutDecision(
                        started.completed(List.of(), situation.elapsedMillis()), "no other version is in service")
                : new RolloutDecision(started, "ordered");
    }

    private static RolloutDecision rollBack(RolloutRecord record, RolloutSituation situation, String reason) {
        return new RolloutDecision(record.rolledBack(situation.elapsedMillis()), reason);
    }

    private static Optional<RolloutDecision> judge(RolloutRecord record, RolloutSituation situation) {
        Optional<String> fault = VersionComparison.findFault(situation.total(), situation.sincePhase());
        if (fault.isPresent()) {
            return fault.map(reason -> rollBack(record, situation, reason));
        }
        double progress = (double) situation.elapsedMillis() / record.durationMillis();
        if (situation.introducedTargets() == 0) {
            return progress >= LATEST_ARRIVAL
                    ? Optional.of(rollBack(record, situation, "no target of the version is in service"))
                    : refresh(record, situation);
        }
        boolean hasSign = VersionComparison.hasSign(situation.total());
        Optional<RolloutDecision> step = switch (record.phase()) {
            case CANARY -> afterCanary(record, situation, progress, hasSign);
            case RAMP -> afterStep(record, situation, progress, hasSign);
            default -> afterFull(record, situation, progress, hasSign);
        };
        return step.or(() -> refresh(record, situation));
    }

    private static Optional<RolloutDecision> afterCanary(
            RolloutRecord record, RolloutSituation situation, double progress, boolean hasSign) {
        if (isFullDue(situation, progress)) {
            return Optional.of(advance(record, situation, RolloutPhase.FULL, 1, "time is short"));
        }
        boolean enough = situation.total().introducedTotal().timed() >= VersionComparison.LEAST_TIMED;
        if (situation.evidenceCurrent()
                && !hasSign
                && (progress >= LATEST_CANARY_END || progress >= CANARY_END && enough)) {
            return Optional.of(nextStep(record, situation));
        }
        double share = canaryShare(record, situation);
        boolean adjust = record.share() == INITIAL_SHARE
                && situation.evidenceCurrent()
                && situation.elapsedMillis() >= RATE_KNOWN_AFTER_MILLIS
                && situation.total().othersTotal().requests() > 0
                && share > INITIAL_SHARE * LEAST_STEP_FACTOR;
        return adjust
                ? Optional.of(advance(record, situation, RolloutPhase.CANARY, share, "the rate is known"))
                : Optional.empty();
    }

    private static double canaryShare(RolloutRecord record, RolloutSituation situation) {
        VersionTally seen =
                situation.total().othersTotal().plus(situation.total().introducedTotal());
        double expected =
                seen.requests() * CANARY_END * record.durationMillis() / Math.max(1, situation.elapsedMillis());
        return Math.min(MAX_CANARY_SHARE, LEAST_CANARY_SHARE + CANARY_REQUESTS / Math.max(1, expected));
    }

    private static Optional<RolloutDecision> afterStep(
            RolloutRecord record, RolloutSituation situation, double progress, boolean hasSign) {
        if (isFullDue(situation, progress)) {
            return Optional.of(advance(record, situation, RolloutPhase.FULL, 1, "time is short"));
        }
        double stepMillis = STEP_TIME * record.durationMillis();
        double leastMillis = progress > BEHIND_AFTER ? Math.min(LEAST_STEP_MILLIS, stepMillis) : stepMillis;
        boolean enough = situation.sincePhase().introducedTotal().requests() >= STEP_REQUESTS
                || situation.phaseMillis() >= LATEST_STEP_TIME * record.durationMillis();
        return situation.evidenceCurrent() && !hasSign && situation.phaseMillis() >= leastMillis && enough
                ? Optional.of(nextStep(record, situation))
                : Optional.empty();
    }

    private static boolean isFullDue(RolloutSituation situation, double progress) {
        // Once the time is over, haste gains nothing any more.
        return progress < 1
                && (progress >= LATEST_FULL_WITHOUT_EVIDENCE || progress >= LATEST_FULL && situation.evidenceCurrent());
    }

    private static RolloutDecision nextStep(RolloutRecord record, RolloutSituation situation) {
        Optional<Double> next = RAMP_SHARES.stream()
                .filter(share -> share >= record.share() * LEAST_STEP_FACTOR)
                .findFirst();
        return next.map(share -> advance(record, situation, RolloutPhase.RAMP, share, "no sign of a fault"))
                .orElseGet(() -> advance(record, situation, RolloutPhase.FULL, 1, "no sign of a fault"));
    }

    private static RolloutDecision advance(
            RolloutRecord record, RolloutSituation situation, RolloutPhase phase, double share, String reason) {
        return new RolloutDecision(record.with(phase, share, situation.elapsedMillis()), reason);
    }

    private static Optional<RolloutDecision> afterFull(
            RolloutRecord record, RolloutSituation situation, double progress, boolean hasSign) {
        long fullMillis = situation.phaseMillis();
        boolean enough = situation.sincePhase().introducedTotal().requests() >= STEP_REQUESTS
                || fullMillis >= LATEST_FULL_TIME * record.durationMillis();
        boolean judged =
                situation.evidenceCurrent() && !hasSign && fullMillis >= FULL_TIME * record.durationMillis() && enough;
        boolean timeShort = progress >= LATEST_ARRIVAL && progress < 1 && fullMillis >= LEAST_STEP_MILLIS;
        if (situation.settled() && (judged || timeShort)) {
            return Optional.of(complete(record, situation, "no sign of a fault"));
        }
        return progress >= LATEST_COMPLETION && situation.evidenceCurrent() && fullMillis >= LEAST_STEP_MILLIS
                ? Optional.of(complete(record, situation, "time is up, not all instances have confirmed"))
                : Optional.empty();
    }

    private static RolloutDecision complete(RolloutRecord record, RolloutSituation situation, String reason) {
        return new RolloutDecision(record.completed(situation.otherVersions(), situation.elapsedMillis()), reason);
    }

    private static Optional<RolloutDecision> refresh(RolloutRecord record, RolloutSituation situation) {
        return situation.elapsedMillis() - record.elapsedMillis() >= RECORD_REFRESH_MILLIS
                ? Optional.of(advance(record, situation, record.phase(), record.share(), "refresh"))
                : Optional.empty();
    }
}
