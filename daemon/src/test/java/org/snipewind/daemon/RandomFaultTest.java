package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.daemon.record.RecordNames;

/** Injects seeded random faults; every step of the fleet checks that no two targets hold the same slice. */
class RandomFaultTest {

    private static final int FAULTS = 60;
    private static final int MAX_GAP_MILLIS = 1_500;
    private static final int FAULT_KINDS = 10;

    private final SimulatedFleet fleet = SimulatedFleet.running(6, 4);
    private final Set<String> frozen = new HashSet<>();
    private int replacementCount;

    /** Guards against slices held twice or lost permanently as a result of a certain sequence of several faults. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noSliceIsHeldTwiceDuringAMixOfFaultsAndAllAreHeldAfterwards(long seed) {
        Random random = new Random(seed);
        List<String> history = new ArrayList<>();
        for (int number = 0; number < FAULTS; number++) {
            history.add(fleet.clock.nowMillis() + " " + injectFault(random));
            for (int left = random.nextInt(MAX_GAP_MILLIS); left > 0; left -= SimulatedFleet.STEP_MILLIS) {
                step(history);
            }
        }
        repairAll();

        long end = fleet.clock.nowMillis() + 120_000;
        while (fleet.heldSliceCount() < SliceTable.SLICE_COUNT && fleet.clock.nowMillis() < end) {
            step(history);
        }
        assertWithMessage("slices held after " + history)
                .that(fleet.heldSliceCount())
                .isEqualTo(SliceTable.SLICE_COUNT);
    }

    private void step(List<String> history) {
        try {
            fleet.run(SimulatedFleet.STEP_MILLIS);
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + " after " + history, e);
        }
        for (SimulatedDaemon daemon : List.copyOf(fleet.daemons.values())) {
            if (daemon.isRemoved && !daemon.isDead) {
                replace(daemon);
            }
        }
    }

    private String injectFault(Random random) {
        SimulatedDaemon daemon = pick(random, List.copyOf(fleet.daemons.values()));
        String target = pick(random, List.copyOf(fleet.targets.keySet()));
        switch (random.nextInt(FAULT_KINDS)) {
            case 0:
                daemon.pause();
                return "pause " + daemon.id();
            case 1:
            case 2:
                fleet.daemons.values().stream()
                        .filter(each -> !each.isRunning())
                        .forEach(SimulatedDaemon::resume);
                return "resume all";
            case 3:
                replace(daemon);
                return "replace " + daemon.id();
            case 4:
                fleet.targets.get(target).freeze();
                frozen.add(target);
                return "freeze " + target;
            case 5:
                thawAll();
                return "thaw all";
            case 6:
                fleet.targets.get(target).restart();
                return "restart " + target;
            case 7:
                String other = pick(random, List.copyOf(fleet.daemons.keySet()));
                fleet.cut(daemon.id(), other);
                return "cut " + daemon.id() + " to " + other;
            case 8:
                fleet.restoreLinks();
                fleet.store.isDown = random.nextInt(3) == 0;
                return "restore links, store down " + fleet.store.isDown;
            default:
                fleet.store.losesSwapResponses = random.nextBoolean();
                if (random.nextBoolean()) {
                    fleet.store.heldKeys.add(
                            random.nextBoolean() ? RecordNames.FLEET : RecordNames.table(SimulatedFleet.POOL));
                } else {
                    fleet.store.releaseHeldWrites();
                }
                return "lose responses " + fleet.store.losesSwapResponses + ", hold " + fleet.store.heldKeys;
        }
    }

    private void repairAll() {
        fleet.restoreLinks();
        fleet.store.isDown = false;
        fleet.store.losesSwapResponses = false;
        fleet.store.releaseHeldWrites();
        thawAll();
        fleet.daemons.values().stream().filter(each -> !each.isRunning()).forEach(SimulatedDaemon::resume);
    }

    private void thawAll() {
        frozen.forEach(target -> fleet.targets.get(target).thaw());
        frozen.clear();
    }

    private void replace(SimulatedDaemon daemon) {
        daemon.isDead = true;
        fleet.daemons.remove(daemon.id());
        replacementCount++;
        String instance = daemon.id().substring(0, daemon.id().indexOf('-'));
        fleet.start(
                instance + "-r" + replacementCount, SimulatedFleet.dataCentre(Integer.parseInt(instance.substring(6))));
    }

    private static <T> T pick(Random random, List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }
}
