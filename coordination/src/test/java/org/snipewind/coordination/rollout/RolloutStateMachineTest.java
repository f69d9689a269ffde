package org.snipewind.coordination.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RolloutStateMachineTest {

    private static final int RUNS = 400;
    private static final RolloutOrder ORDER = new RolloutOrder("v2", 12_000, 7);

    private static RolloutSituation situation(long elapsedMillis, int introducedTargets, String... others) {
        return new RolloutSituation(
                elapsedMillis,
                elapsedMillis,
                RolloutEvidence.NONE,
                RolloutEvidence.NONE,
                true,
                introducedTargets,
                Set.of(others),
                false);
    }

    /** Guards against a good version that is not completed in time, or rolled back for being cold or slower. */
    @Test
    void aGoodVersionIsCompletedBeforeItsDeadlineUnderTheLoadOfBothDeployments() {
        for (long seed = 0; seed < RUNS; seed++) {
            Random random = RolloutModel.seeded(seed);
            double rate = 1.5 + Math.pow(random.nextDouble(), 2) * 870;
            long duration = 12_000 + random.nextInt(20_000);
            double ambient = random.nextInt(3) == 0 ? random.nextDouble() * 0.1 : random.nextDouble() * 0.003;
            RolloutModel model = new RolloutModel(
                    seed, rate, duration, RolloutModel.Behaviour.GOOD, ambient, 3_000 + random.nextInt(2_500));
            model.run(duration);
            assertWithMessage("seed %s %s", seed, model)
                    .that(model.completedMillis)
                    .isGreaterThan(0);
            assertWithMessage("seed %s %s", seed, model)
                    .that(model.completedMillis)
                    .isAtMost(duration * 9 / 10);
            assertWithMessage("old version used after completion, seed %s %s", seed, model)
                    .that(model.lastOldAfterCompletedMillis)
                    .isEqualTo(-1);
        }
    }

    /** Guards against a bad version that gets more than its bound, is found too late, or is completed. */
    @Test
    void aBadVersionIsRolledBackWithinItsExposureWhereverItsFaultBegins() {
        for (long seed = 0; seed < RUNS; seed++) {
            Random random = RolloutModel.seeded(seed);
            double rate = 80 + random.nextDouble() * 420;
            long duration = 12_000 + random.nextInt(12_000);
            boolean failing = random.nextBoolean();
            RolloutModel.Behaviour behaviour = new RolloutModel.Behaviour(
                    failing ? 0.15 + random.nextDouble() * 0.85 : 0,
                    failing ? 1 : 5 + random.nextDouble() * 5,
                    random.nextBoolean() ? 0 : (long) (random.nextDouble() * duration * 0.5),
                    random.nextInt(3) == 0 ? 0.16 : 0,
                    random.nextInt(3) == 0);
            RolloutModel model = new RolloutModel(seed, rate, duration, behaviour, random.nextDouble() * 0.003, 5_000);
            model.run(duration + 2_000);
            checkBadVersion(seed, model, duration);
        }
    }

    private static void checkBadVersion(long seed, RolloutModel model, long duration) {
        assertWithMessage("seed %s %s", seed, model)
                .that(model.rolledBackMillis)
                .isGreaterThan(0);
        assertWithMessage("exposure, seed %s %s", seed, model)
                .that((double) model.exposed)
                .isAtMost(0.1 * model.requests * duration / (duration + 2_000) + 50);
        assertWithMessage("seed %s %s", seed, model)
                .that(model.sentAfterFiftiethBad())
                .isAtMost(5_000);
    }

    /** Guards against steps that a new leader takes without evidence, and against a deadline that it misses. */
    @Test
    void theLossOfALeaderNeitherExposesMoreNorMissesTheDeadline() {
        for (long seed = 0; seed < RUNS; seed++) {
            Random random = RolloutModel.seeded(seed);
            double rate = 150 + random.nextDouble() * 350;
            long duration = 12_000 + random.nextInt(12_000);
            boolean isBad = random.nextBoolean();
            RolloutModel.Behaviour behaviour = isBad
                    ? new RolloutModel.Behaviour(0.3 + random.nextDouble() * 0.7, 1, 0, 0, false)
                    : RolloutModel.Behaviour.GOOD;
            RolloutModel model = new RolloutModel(seed, rate, duration, behaviour, 0.001, 4_000);
            model.run(random.nextInt((int) (duration * 0.65)) / 50 * 50L);
            model.loseLeader(500 + random.nextInt(2_500));
            model.run(duration + 2_000);
            if (isBad) {
                checkBadVersion(seed, model, duration);
            } else {
                assertWithMessage("seed %s %s", seed, model)
                        .that(model.completedMillis)
                        .isGreaterThan(0);
                assertWithMessage("seed %s %s", seed, model)
                        .that(model.completedMillis)
                        .isAtMost(duration);
            }
        }
    }

    /** Guards against a version that is completed without evidence because nobody led until the time was over. */
    @Test
    void aBadVersionIsRolledBackEvenIfNobodyLedUntilTheDeadline() {
        for (long seed = 0; seed < 50; seed++) {
            RolloutModel model = new RolloutModel(
                    seed, 300, 12_000, new RolloutModel.Behaviour(0.5, 1, 0, 0.16, false), 0.001, 4_000);
            model.run(1_000);
            model.loseLeader(10_000 + seed * 50);
            model.run(25_000);
            assertWithMessage("seed %s %s", seed, model)
                    .that(model.completedMillis)
                    .isEqualTo(-1);
            assertWithMessage("seed %s %s", seed, model)
                    .that(model.rolledBackMillis)
                    .isGreaterThan(0);
        }
    }

    /** Guards against requests to a version whose order was withdrawn at any time before its completion. */
    @Test
    void aWithdrawnOrderReturnsAllRequestsToTheOldVersionAtOnce() {
        for (long seed = 0; seed < 100; seed++) {
            Random random = RolloutModel.seeded(seed);
            RolloutModel model = new RolloutModel(seed, 300, 12_000, RolloutModel.Behaviour.GOOD, 0, 4_000);
            long withdrawnMillis = 500 + random.nextInt(7_500) / 50 * 50L;
            model.run(withdrawnMillis);
            model.withdraw();
            model.run(20_000);
            assertThat(model.record().get().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
            assertWithMessage("seed %s", seed).that(model.lastExposedMillis).isAtMost(withdrawnMillis);
        }
    }

    /** Guards against a version that is introduced although none of its targets has come into service. */
    @Test
    void aVersionWithoutTargetsIsRolledBackJustBeforeTheDeadline() {
        RolloutRecord started = RolloutStateMachine.next(Optional.of(ORDER), Optional.empty(), situation(0, 0, "v1"))
                .orElseThrow()
                .record();
        assertThat(started.phase()).isEqualTo(RolloutPhase.CANARY);
        assertThat(RolloutStateMachine.next(Optional.of(ORDER), Optional.of(started), situation(1_500, 0, "v1")))
                .isEmpty();
        RolloutDecision last = RolloutStateMachine.next(
                        Optional.of(ORDER), Optional.of(started), situation(11_200, 0, "v1"))
                .orElseThrow();
        assertThat(last.record().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
        assertThat(last.record().rejected()).containsExactly("v2");
    }

    @Test
    void aVersionThatIsAloneInItsPoolIsCompletedAtOnce() {
        RolloutDecision decision = RolloutStateMachine.next(Optional.of(ORDER), Optional.empty(), situation(0, 2))
                .orElseThrow();
        assertThat(decision.record().phase()).isEqualTo(RolloutPhase.COMPLETED);
    }

    /** Guards against a version of a replaced order that keeps its share or never gets its last status. */
    @Test
    void anOrderThatIsReplacedIsRolledBackBeforeTheNextOneIsTakenUp() {
        RolloutRecord running =
                new RolloutRecord("v2", 7, RolloutPhase.RAMP, 0.16, 12_000, 7_000, List.of("v1"), List.of());
        Optional<RolloutOrder> next = Optional.of(new RolloutOrder("v3", 12_000, 9));
        RolloutRecord abandoned = RolloutStateMachine.next(next, Optional.of(running), situation(0, 2, "v1", "v2"))
                .orElseThrow()
                .record();
        assertThat(abandoned.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
        assertThat(abandoned.version()).isEqualTo("v2");
        RolloutRecord taken = RolloutStateMachine.next(next, Optional.of(abandoned), situation(0, 2, "v1", "v2"))
                .orElseThrow()
                .record();
        assertThat(taken.version()).isEqualTo("v3");
        assertThat(taken.rejected()).containsExactly("v2");
        assertThat(taken.retired()).containsExactly("v1");
        Optional<RolloutOrder> again = Optional.of(new RolloutOrder("v2", 12_000, 12));
        RolloutRecord ordered = taken.rolledBack(100);
        assertThat(RolloutStateMachine.next(again, Optional.of(ordered), situation(0, 2, "v1", "v3"))
                        .orElseThrow()
                        .record()
                        .rejected())
                .containsExactly("v3");
    }

    /** Guards against a fault of a rare route that the other routes hide. */
    @Test
    void aFaultOfOneRouteIsFoundAmongManyGoodResponses() {
        RolloutEvidence evidence = new RolloutEvidence(
                Map.of("a", new VersionTally(1_000, 4, 996, 99_600), "b", new VersionTally(20, 7, 13, 1_300)),
                Map.of("a", new VersionTally(9_000, 30, 8_970, 897_000), "b", new VersionTally(200, 0, 200, 20_000)));
        assertThat(VersionComparison.findFault(evidence, evidence).orElseThrow())
                .contains("route=b");
        RolloutEvidence slow = new RolloutEvidence(
                Map.of("a", new VersionTally(900, 0, 900, 90_000), "b", new VersionTally(15, 0, 15, 6_000)),
                evidence.others());
        assertThat(VersionComparison.findFault(slow, slow).orElseThrow()).contains("slow route=b");
    }

    /** Guards against a version that is blamed for failures which all versions have during an overload. */
    @Test
    void failuresThatBothVersionsHaveAreNoFault() {
        RolloutEvidence evidence = new RolloutEvidence(
                Map.of("a", new VersionTally(200, 62, 138, 13_800)),
                Map.of("a", new VersionTally(5_000, 1_500, 3_500, 350_000)));
        assertThat(VersionComparison.findFault(evidence, evidence)).isEmpty();
        assertThat(VersionComparison.isExcessive(20_000, 7_000, 0.3, 1e-3)).isTrue();
        assertThat(VersionComparison.isExcessive(20_000, 6_100, 0.3, 1e-3)).isFalse();
    }
}
