package org.snipewind.coordination.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyMove;
import org.snipewind.coordination.keyspace.KeyTable;

final class IntroducedKeyPlannerTest {

    private static final int HOLDERS = 20;

    private static KeyTable heldByOldTargets() {
        List<KeyAssignment> ranges = new ArrayList<>();
        int length = (KeyTable.LAST_KEY + 1) / HOLDERS;
        for (int index = 0; index < HOLDERS; index++) {
            int to = index == HOLDERS - 1 ? KeyTable.LAST_KEY : (index + 1) * length - 1;
            ranges.add(new KeyAssignment(index * length, to, "old-" + index, 1, List.of()));
        }
        return new KeyTable(ranges);
    }

    /** Returns requests per second of which a tenth go to one hot key and half to a few hundred warm ones. */
    private static NavigableMap<Integer, Double> rates(Random random) {
        NavigableMap<Integer, Double> rates = new TreeMap<>();
        rates.merge(random.nextBoolean() ? random.nextInt(1_500) : random.nextInt(65_536), 30.0, Double::sum);
        for (int index = 0; index < 300; index++) {
            rates.merge(random.nextInt(65_536), 0.5, Double::sum);
        }
        for (int index = 0; index < 400; index++) {
            rates.merge(random.nextInt(65_536), 0.3, Double::sum);
        }
        return rates;
    }

    private static double fractionAtNewTargets(KeyTable table, NavigableMap<Integer, Double> rates) {
        double total = rates.values().stream().mapToDouble(Double::doubleValue).sum();
        return table.assignments().stream()
                        .filter(range -> range.holder().startsWith("new"))
                        .flatMap(range -> rates.subMap(range.from(), true, range.to(), true).values().stream())
                        .mapToDouble(Double::doubleValue)
                        .sum()
                / total;
    }

    /** Guards against a keyed pool whose new version gets no requests, or a hot key, before all keys move. */
    @Test
    void theNewTargetsGetTheirShareOfTheRequestsWithoutTheHotKey() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = RolloutModel.seeded(seed);
            NavigableMap<Integer, Double> rates = rates(random);
            KeyTable table = heldByOldTargets();
            for (double share : new double[] {0.03, 0.06, 0.16, 0.35}) {
                List<String> introduced = share < 0.1 ? List.of("new-1") : List.of("new-1", "new-2", "new-3");
                for (KeyMove move : IntroducedKeyPlanner.plan(table, introduced, share, rates)) {
                    assertThat(move.source()).isPresent();
                    assertThat(introduced).contains(move.destination());
                    table = table.withAssignment(
                            new KeyAssignment(move.from(), move.to(), move.destination(), 2, List.of()));
                }
                double fraction = fractionAtNewTargets(table, rates);
                assertWithMessage("seed %s share %s", seed, share)
                        .that(fraction)
                        .isAtLeast(share * 0.4);
                assertWithMessage("seed %s share %s", seed, share)
                        .that(fraction)
                        .isAtMost(share * 1.6);
                assertThat(IntroducedKeyPlanner.plan(table, introduced, share, rates))
                        .isEmpty();
            }
        }
    }

    @Test
    void keysMoveByTheirNumberAsLongAsThereAreNoRequests() {
        List<KeyMove> moves = IntroducedKeyPlanner.plan(heldByOldTargets(), List.of("new-1"), 0.04, new TreeMap<>());
        int keys = moves.stream().mapToInt(move -> move.to() - move.from() + 1).sum();
        assertThat(keys / 65_536.0).isWithin(0.005).of(0.04);
        assertThat(IntroducedKeyPlanner.plan(heldByOldTargets(), List.of("new-1"), 1, new TreeMap<>()))
                .isEmpty();
    }
}
