package org.snipewind.coordination.keyspace;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against targets that get more requests than they can serve in time, while others of their pool are idle. */
final class KeysByCapacityTest {

    private static final double SERVICE_MILLIS = 191;
    private static final double REQUESTS_PER_SECOND = 307;
    private static final int SLOTS = 3;
    private static final int TARGETS = 57;
    private static final int SEEDS = 3;
    private static final long RUN_MILLIS = 12_000;

    /** Load: speeds from 0.5 to 1.6. Guards against slow targets that keep an even share of the keys. */
    @Test
    void withSpeedsFromHalfToOneAndSixTenthsTheSlowestTargetsGetFarLessThanAnEvenShare() {
        for (int seed = 0; seed < SEEDS; seed++) {
            double[] speeds = SimulatedKeyedPool.speedsBetween(0.5, 1.6, TARGETS);
            SimulatedKeyedPool pool = new SimulatedKeyedPool(seed, SERVICE_MILLIS, SLOTS, speeds);
            IntSupplier keys = evenKeys(seed);
            pool.run(3 * RUN_MILLIS, REQUESTS_PER_SECOND, keys, true);
            pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, true);
            assertThat(pool.shareOfTargetsBelow(0.65)).isLessThan(0.6);
            assertThat(pool.highestUtilization(RUN_MILLIS)).isLessThan(0.6);
            assertThat(pool.movedKeyFraction()).isLessThan(0.08);
        }
    }

    /** Load: slow moments that change many times a second. Guards against keys that follow them back and forth. */
    @Test
    void slowMomentsThatChangeManyTimesASecondMoveFewKeys() {
        for (int seed = 0; seed < SEEDS; seed++) {
            double[] speeds = SimulatedKeyedPool.speedsBetween(0.99, 1.01, TARGETS);
            SimulatedKeyedPool pool = new SimulatedKeyedPool(seed, SERVICE_MILLIS, SLOTS, speeds);
            IntSupplier keys = evenKeys(seed);
            pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, true);
            pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, true);
            assertThat(pool.movedKeyFraction()).isLessThan(0.07);
            assertThat(pool.highestUtilization(RUN_MILLIS)).isLessThan(0.6);
        }
    }

    /** Load: equal targets without slow moments. Guards against moves that have no gain. */
    @Test
    void equalTargetsUnderAnEvenLoadKeepTheirKeys() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedKeyedPool pool = new SimulatedKeyedPool(
                    seed, SERVICE_MILLIS, SLOTS, SimulatedKeyedPool.speedsBetween(0.99, 1.01, TARGETS));
            IntSupplier keys = evenKeys(seed);
            pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, false);
            pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, false);
            assertThat(pool.movedKeyFraction()).isLessThan(0.01);
        }
    }

    /** Load: a hot range beside an even load. Guards against a range that stays with one target. */
    @Test
    void aHotRangeIsSpreadOverTargetsThatCanServeIt() {
        double[] speeds = SimulatedKeyedPool.speedsBetween(0.5, 1.6, TARGETS);
        SimulatedKeyedPool pool = new SimulatedKeyedPool(1, SERVICE_MILLIS, SLOTS, speeds);
        Random random = new Random(5);
        // A fifth of the requests, four times what the mean target can serve, are for 200 neighbouring keys.
        IntSupplier keys = () -> random.nextInt(5) == 0 ? 30_000 + random.nextInt(200) : random.nextInt(65_536);
        pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, false);
        pool.run(RUN_MILLIS, REQUESTS_PER_SECOND, keys, false);
        assertThat(pool.highestUtilization(RUN_MILLIS)).isLessThan(0.85);
        assertThat(pool.lateFraction()).isLessThan(0.03);
    }

    /** Load: a cold data centre. Guards against keys whose owners refuse nearly every request. */
    @Test
    void aColdDataCentreGetsNoKeysWhileTheOthersHaveCapacity() {
        List<HolderCandidate> candidates = coldDataCentre(30, 10);
        KeyTable table = deal(candidates, evenRates(300));
        IntStream.range(0, 10)
                .forEach(index -> assertThat(keys(table, "t" + index + "@1")).isEqualTo(0));
    }

    /** Load: a cold data centre beside too little warm capacity. */
    @Test
    void aColdDataCentreGetsKeysOnlyAsFarAsItsColdStartRateAllows() {
        NavigableMap<Integer, Double> rates = evenRates(700);
        List<HolderCandidate> candidates = coldDataCentre(30, 8);
        KeyTable table = deal(candidates, rates);
        int cold = 0;
        for (int index = 0; index < 10; index++) {
            double load = load(table, rates, "t" + index + "@1");
            assertThat(load).isAtMost(8.0);
            cold += load > 0 ? 1 : 0;
        }
        assertThat(cold).isGreaterThan(5);
    }

    @Test
    void aWhollyColdPoolGetsAllKeys() {
        List<HolderCandidate> candidates = coldDataCentre(10, 2);
        KeyTable table = deal(candidates, evenRates(300));
        assertThat(candidates.stream()
                        .mapToInt(each -> keys(table, each.incarnation()))
                        .sum())
                .isEqualTo(KeyTable.LAST_KEY + 1);
    }

    /** Guards against keys that are dealt by count to targets whose speeds are known, as after a lost table. */
    @Test
    void keysAreDealtInProportionToKnownCapacities() {
        List<HolderCandidate> candidates = List.of(
                new HolderCandidate("slow@1", 10, false),
                new HolderCandidate("mean@1", 20, false),
                new HolderCandidate("fast@1", 30, false));
        KeyTable table = deal(candidates, new TreeMap<>());
        assertThat(keys(table, "fast@1")).isGreaterThan(2 * keys(table, "slow@1"));
        assertThat(keys(table, "mean@1")).isGreaterThan(keys(table, "slow@1"));
    }

    private static IntSupplier evenKeys(long seed) {
        Random random = new Random(seed);
        return () -> random.nextInt(KeyTable.LAST_KEY + 1);
    }

    /** Returns targets that can serve 30 requests per second, of which the first ten are in cold start. */
    private static List<HolderCandidate> coldDataCentre(int count, double coldStartRate) {
        List<HolderCandidate> candidates = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            candidates.add(new HolderCandidate("t" + index + "@1", index < 10 ? coldStartRate : 30, index < 10));
        }
        return candidates;
    }

    private static KeyTable deal(List<HolderCandidate> candidates, NavigableMap<Integer, Double> rates) {
        KeyTable table = KeyTable.EMPTY;
        for (KeyMove move : KeyAssignmentPlanner.plan(table, candidates, rates)) {
            table = table.withAssignment(new KeyAssignment(move.from(), move.to(), move.destination(), 1, List.of()));
        }
        return table;
    }

    private static int keys(KeyTable table, String incarnation) {
        return table.assignments().stream()
                .filter(range -> range.holder().equals(incarnation))
                .mapToInt(range -> range.to() - range.from() + 1)
                .sum();
    }

    private static double load(KeyTable table, NavigableMap<Integer, Double> rates, String incarnation) {
        return table.assignments().stream()
                .filter(range -> range.holder().equals(incarnation))
                .mapToDouble(range -> rates.subMap(range.from(), true, range.to(), true).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum())
                .sum();
    }

    private static NavigableMap<Integer, Double> evenRates(double totalPerSecond) {
        NavigableMap<Integer, Double> rates = new TreeMap<>();
        IntStream.range(0, 2_048).forEach(index -> rates.put(index * 32 + 7, totalPerSecond / 2_048));
        return rates;
    }
}
