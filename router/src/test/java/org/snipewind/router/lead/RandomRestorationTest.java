package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a key with two holders, an epoch that is assigned twice, a configuration that goes back and keys that
 * stay without a holder, under random restorations of the store, changes of the leader and lost connections.
 */
final class RandomRestorationTest {

    private static final int SEEDS = 30;
    private static final int PHASES = 14;

    /** Time after the last fault in which a new leader may have to wait, and moves may be pending. */
    private static final long RECOVERY_MILLIS = LeaderTimes.earlierEraRightsMillis() + 17_000;

    @Test
    void eachKeyHasOneOwnerAndConfigurationsNeverGoBackUnderRandomRestorations() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RestorationFleet fleet = new RestorationFleet(seed, 4, 4);
            try {
                runSeed(fleet);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    private static void runSeed(RestorationFleet fleet) {
        fleet.run(5_000);
        for (int phase = 0; phase < PHASES; phase++) {
            injectFault(fleet);
            fleet.run(200 + fleet.random().nextInt(2_500));
        }
        heal(fleet);
        fleet.run(RECOVERY_MILLIS);
        for (int key : RestorationFleet.CHECKED_KEYS) {
            assertWithMessage("holders of key %s", key)
                    .that(fleet.targets().holders(key))
                    .hasSize(1);
        }
        for (SimulatedInstance instance : fleet.instances()) {
            assertWithMessage("version at %s", instance.member().name())
                    .that(instance.version())
                    .isEqualTo(fleet.version());
            assertWithMessage("era at %s", instance.member().name())
                    .that(instance.eraOfCache())
                    .isEqualTo(fleet.store().era());
        }
    }

    private static void injectFault(RestorationFleet fleet) {
        List<SimulatedInstance> instances = fleet.instances();
        SimulatedInstance chosen = instances.get(fleet.random().nextInt(instances.size()));
        List<String> targets = fleet.targetIds().stream().sorted().toList();
        String target = targets.get(fleet.random().nextInt(targets.size()));
        switch (fleet.random().nextInt(12)) {
            case 0, 1, 2 ->
                fleet.restore(fleet.randomEarlierCopy(), fleet.random().nextBoolean());
            case 3 ->
                fleet.leaders().stream().findFirst().ifPresent(leader -> {
                    fleet.kill(leader);
                    fleet.startInstance(leader.member().name());
                });
            case 4, 5 -> fleet.setIsolated(chosen, true);
            case 6 -> fleet.setIsolated(chosen, false);
            case 7 -> chosen.replaceLeader();
            case 8 -> fleet.writeNextConfiguration();
            case 9 -> fleet.writeTarget(target, fleet.random().nextInt(3) == 0);
            case 10 -> fleet.instances().forEach(instance -> instance.client().setLostFraction(0.2));
            default -> {
                fleet.targets().setFaults(new SimulatedTargets.Faults(0.2, 0.2, 100));
                fleet.targets().setPartitioned(target, fleet.random().nextBoolean());
            }
        }
    }

    private static void heal(RestorationFleet fleet) {
        fleet.targets().setFaults(new SimulatedTargets.Faults(0, 0, 5));
        fleet.instances().forEach(instance -> {
            fleet.setIsolated(instance, false);
            instance.client().setLostFraction(0);
        });
        fleet.targetIds().stream().sorted().forEach(id -> {
            fleet.targets().setPartitioned(id, false);
            fleet.writeTarget(id, false);
        });
        fleet.writeConfiguration();
    }
}
