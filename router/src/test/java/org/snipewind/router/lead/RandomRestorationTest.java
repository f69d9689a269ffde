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
        switch (fleet.random().nextInt(14)) {
            case 0, 1 -> fleet.restore(fleet.randomEarlierCopy(), fleet.random().nextBoolean());
            case 2, 3 -> restoreJustAfterMoves(fleet, target);
            case 4 -> restart(fleet, fleet.leaders());
            case 5, 6 -> replaceIsolatedLeader(fleet, target);
            case 7 -> fleet.setIsolated(chosen, true);
            case 8 -> fleet.setIsolated(chosen, false);
            case 9 -> chosen.replaceLeader();
            case 10 -> fleet.writeNextConfiguration();
            case 11 -> fleet.writeTarget(target, fleet.random().nextBoolean());
            case 12 -> fleet.instances().forEach(instance -> instance.client().setLostFraction(0.2));
            default -> {
                fleet.targets().setFaults(new SimulatedTargets.Faults(0.2, 0.2, 100));
                fleet.targets().setPartitioned(target, fleet.random().nextBoolean());
            }
        }
    }

    /** Loses the record of moves whose new holders have their grants, and at times also all that know of them. */
    private static void restoreJustAfterMoves(RestorationFleet fleet, String target) {
        RestorableStore.Copy copy = fleet.copy();
        fleet.writeTarget(target, true);
        fleet.run(200 + fleet.random().nextInt(1_500));
        fleet.restore(copy, fleet.random().nextBoolean());
        if (fleet.random().nextBoolean()) {
            restart(fleet, fleet.instances());
        } else if (fleet.random().nextBoolean()) {
            restart(fleet, fleet.leaders());
        }
        fleet.writeTarget(target, false);
    }

    private static void restart(RestorationFleet fleet, List<SimulatedInstance> instances) {
        instances.forEach(instance -> {
            fleet.kill(instance);
            fleet.startInstance(instance.member().name());
        });
    }

    /** Lets a successor move keys that the leader does not know of, and loses all records of that successor. */
    private static void replaceIsolatedLeader(RestorationFleet fleet, String target) {
        List<SimulatedInstance> leaders = fleet.leaders();
        if (leaders.isEmpty()) {
            return;
        }
        SimulatedInstance leader = leaders.get(0);
        RestorableStore.Copy copy = fleet.copy();
        fleet.setIsolated(leader, true);
        fleet.instances().stream().filter(each -> each != leader).forEach(SimulatedInstance::replaceLeader);
        fleet.run(700);
        fleet.writeTarget(target, true);
        fleet.run(300 + fleet.random().nextInt(1_500));
        fleet.leaders().stream().filter(each -> each != leader).forEach(each -> fleet.setIsolated(each, true));
        fleet.restore(copy, true);
        fleet.setIsolated(leader, false);
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
