package org.snipewind.coordination.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;

final class VersionRuleTest {

    private static final RolloutOrder ORDER = new RolloutOrder("v2", 12_000, 7);

    private static RolloutRecord record(RolloutPhase phase, double share) {
        return new RolloutRecord("v2", 7, phase, share, 12_000, 0, List.of("v1"), List.of("v0"));
    }

    private static VersionRule rule(Optional<RolloutOrder> order, RolloutRecord record, boolean current) {
        return new VersionRule(order, Optional.of(record), current, false);
    }

    @Test
    void withoutAnOrderAllVersionsAreTreatedAlike() {
        VersionRule rule = new VersionRule(Optional.empty(), Optional.empty(), false, true);
        assertThat(rule.useOf("v1")).isEqualTo(VersionRule.Use.ALL);
        assertThat(rule.useOf("v2")).isEqualTo(VersionRule.Use.ALL);
    }

    /** Guards against an instance that learns of the order before the record, or has just started. */
    @Test
    void anOrderedVersionGetsNothingUntilTheRecordAllowsIt() {
        VersionRule unknown = new VersionRule(Optional.of(ORDER), Optional.empty(), true, true);
        assertThat(unknown.useOf("v2")).isEqualTo(VersionRule.Use.NONE);
        assertThat(unknown.useOf("v1")).isEqualTo(VersionRule.Use.ALL);
        Optional<RolloutOrder> later = Optional.of(new RolloutOrder("v3", 12_000, 9));
        VersionRule replaced = rule(later, record(RolloutPhase.RAMP, 0.3), true);
        assertThat(replaced.useOf("v2")).isEqualTo(VersionRule.Use.NONE);
        assertThat(replaced.useOf("v3")).isEqualTo(VersionRule.Use.NONE);
        assertThat(replaced.useOf("v1")).isEqualTo(VersionRule.Use.ALL);
        assertThat(rule(later, record(RolloutPhase.COMPLETED, 1), true).useOf("v3"))
                .isEqualTo(VersionRule.Use.NONE);
    }

    /** Guards against an instance that is cut off and goes on to use a version that was rolled back meanwhile. */
    @Test
    void anInstanceWithAnOldCopyReturnsToTheOldVersion() {
        for (double share : List.of(0.05, 1.0)) {
            VersionRule rule = rule(Optional.of(ORDER), record(RolloutPhase.FULL, share), false);
            assertThat(rule.useOf("v2")).isEqualTo(VersionRule.Use.NONE);
            assertThat(rule.useOf("v1")).isEqualTo(VersionRule.Use.ALL);
        }
    }

    @Test
    void aRejectedVersionGetsNothingInAnyPhase() {
        for (RolloutPhase phase : RolloutPhase.values()) {
            assertThat(rule(Optional.of(ORDER), record(phase, 0.5), true).useOf("v0"))
                    .isEqualTo(VersionRule.Use.NONE);
            assertThat(rule(Optional.empty(), record(phase, 0.5), true).useOf("v0"))
                    .isEqualTo(VersionRule.Use.NONE);
        }
    }

    @Test
    void theOldVersionGetsNothingOnceAllRequestsAreMoved() {
        assertThat(rule(Optional.of(ORDER), record(RolloutPhase.FULL, 1), true).useOf("v1"))
                .isEqualTo(VersionRule.Use.NONE);
        assertThat(rule(Optional.of(ORDER), record(RolloutPhase.COMPLETED, 1), true)
                        .useOf("v1"))
                .isEqualTo(VersionRule.Use.NONE);
        assertThat(rule(Optional.empty(), record(RolloutPhase.COMPLETED, 1), true)
                        .useOf("v1"))
                .isEqualTo(VersionRule.Use.ALL);
    }

    /** Guards against a canary of a small keyed pool that gets the share of a whole target. */
    @Test
    void aTargetOfASmallKeyedPoolHoldsKeysForAPartOfItsCapacity() {
        List<TargetState> targets = IntStream.range(0, 12)
                .mapToObj(index -> new TargetState(
                        new TargetRegistration(
                                "t" + index, 1, 1, "pool", "h", 1, "dc", 2, false, 0, index < 6 ? "v1" : "v2"),
                        0))
                .toList();
        assertThat(introducedWeight(targets, 0.04)).isWithin(1e-9).of(0.25);
        assertThat(introducedWeight(targets, 0.5)).isWithin(1e-9).of(6);
        assertThat(introducedWeight(targets, 1)).isWithin(1e-9).of(6);
        HolderShare full = new HolderShare(rule(Optional.of(ORDER), record(RolloutPhase.FULL, 1), true), targets);
        assertThat(full.factor(targets.get(0))).isEqualTo(0.0);
    }

    private static double introducedWeight(List<TargetState> targets, double share) {
        HolderShare holders =
                new HolderShare(rule(Optional.of(ORDER), record(RolloutPhase.RAMP, share), true), targets);
        return targets.subList(6, 12).stream().mapToDouble(holders::factor).sum();
    }
}
