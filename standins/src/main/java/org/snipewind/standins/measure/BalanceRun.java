package org.snipewind.standins.measure;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.snipewind.coordination.ownership.KeyHasher;
import org.snipewind.coordination.ownership.RebalanceLimits;
import org.snipewind.coordination.ownership.SliceAssignmentPlanner;
import org.snipewind.coordination.ownership.SliceOwnership;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.coordination.ownership.TargetHealth;
import org.snipewind.coordination.ownership.TargetHealthReport;

/**
 * Measures imbalance and churn of the planner on a seeded skewed load whose hot keys move, beside consistent hashing
 * and no moves; it runs on the planner alone.
 */
final class BalanceRun {

    private static final String PLANNER_ONLY = "planner";
    private static final double IMBALANCE_TARGET = 1.25;
    private static final double MOVED_TARGET = 1;
    private static final int TARGETS = 15;
    private static final int KEYS = 20_000;
    private static final double SKEW = 0.8;
    private static final int HOURS = 6;
    private static final int ROUNDS_PER_HOUR = 60;
    private static final int ROUNDS_PER_SHIFT = 20;
    private static final int SHIFTED_KEYS = 10;
    private static final double THRESHOLD = 1.2;
    private static final double MOVES_PER_HOUR = SliceTable.SLICE_COUNT / 100;
    private static final int VIRTUAL_NODES = 100;
    private static final long LOAD_SCALE = 1_000_000;

    private final Random random;
    private final double[] keyLoad = new double[KEYS];
    private final int[] sliceOfKey = new int[KEYS];
    private int moved;

    private BalanceRun(long seed) {
        random = new Random(seed);
        for (int key = 0; key < KEYS; key++) {
            keyLoad[key] = 1 / Math.pow(key + 1.0, SKEW);
            sliceOfKey[key] = KeyHasher.sliceOf("sheet-" + seed + "-" + key);
        }
    }

    static List<MeasurementResult> measure(MeasurementOptions options) {
        return new BalanceRun(options.seed()).run();
    }

    private List<MeasurementResult> run() {
        SliceTable table = planned(SliceTable.empty("pool"), Map.of(), 0);
        SliceTable fixed = table;
        SliceTable ring = consistentHashing();
        double left = 0;
        double[] sum = new double[3];
        for (int round = 0; round < HOURS * ROUNDS_PER_HOUR; round++) {
            if (round % ROUNDS_PER_SHIFT == ROUNDS_PER_SHIFT - 1) {
                shiftHotKeys();
            }
            Map<Integer, Long> load = load();
            left = Math.min(MOVES_PER_HOUR, left + MOVES_PER_HOUR / ROUNDS_PER_HOUR);
            int before = moved;
            table = planned(table, load, (int) left);
            left -= moved - before;
            double[] last = new double[] {imbalance(table, load), imbalance(ring, load), imbalance(fixed, load)};
            for (int variant = 0; variant < sum.length; variant++) {
                sum[variant] += last[variant];
            }
        }
        int rounds = HOURS * ROUNDS_PER_HOUR;
        return List.of(
                result(MeasurementResult.BASELINE + "-consistent-hashing", sum[1] / rounds),
                result(MeasurementResult.BASELINE + "-no-moves", sum[2] / rounds),
                MeasurementResult.atMost(
                        "balance.max-to-mean", PLANNER_ONLY, "planner", "ratio", sum[0] / rounds, IMBALANCE_TARGET),
                MeasurementResult.atMost(
                        "balance.moved",
                        PLANNER_ONLY,
                        "planner",
                        "% of slices an hour",
                        100.0 * moved / HOURS / SliceTable.SLICE_COUNT,
                        MOVED_TARGET));
    }

    private static MeasurementResult result(String variant, double value) {
        return MeasurementResult.of("balance.max-to-mean", PLANNER_ONLY, variant, "ratio", value);
    }

    /** Plans until nothing changes; each release is acknowledged in the next step. */
    private SliceTable planned(SliceTable table, Map<Integer, Long> load, int movesAllowed) {
        SliceTable current = table;
        int allowed = movesAllowed;
        while (true) {
            Map<String, TargetHealthReport> views = new TreeMap<>();
            for (int target = 0; target < TARGETS; target++) {
                views.put(
                        "target-" + target,
                        new TargetHealthReport("target-" + target, TargetHealth.LIVE, current.version()));
            }
            Optional<SliceTable> next = SliceAssignmentPlanner.plan(
                    current, views, load, new RebalanceLimits(THRESHOLD, allowed), "measure");
            if (next.isEmpty()) {
                return current;
            }
            int changes = changes(current, next.get());
            moved += changes;
            allowed = Math.max(0, allowed - changes);
            current = next.get();
        }
    }

    private static int changes(SliceTable before, SliceTable after) {
        int count = 0;
        for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
            Optional<String> owner = before.slices().get(slice).owner();
            count +=
                    owner.isPresent() && !owner.equals(after.slices().get(slice).owner()) ? 1 : 0;
        }
        return count;
    }

    private static SliceTable consistentHashing() {
        TreeMap<Long, String> points = new TreeMap<>();
        for (int target = 0; target < TARGETS; target++) {
            for (int node = 0; node < VIRTUAL_NODES; node++) {
                points.put(KeyHasher.hash("target-" + target + "/" + node), "target-" + target);
            }
        }
        SliceTable empty = SliceTable.empty("pool");
        return new SliceTable(
                "pool",
                1,
                "measure",
                IntStream.range(0, empty.slices().size())
                        .mapToObj(slice -> new SliceOwnership(
                                Optional.of(Optional.ofNullable(points.ceilingEntry(KeyHasher.hash("slice-" + slice)))
                                        .orElse(points.firstEntry())
                                        .getValue()),
                                Optional.empty()))
                        .toList());
    }

    private void shiftHotKeys() {
        for (int number = 0; number < SHIFTED_KEYS; number++) {
            int hot = random.nextInt(SHIFTED_KEYS * 10);
            int cold = random.nextInt(KEYS);
            double load = keyLoad[hot];
            keyLoad[hot] = keyLoad[cold];
            keyLoad[cold] = load;
        }
    }

    private Map<Integer, Long> load() {
        Map<Integer, Long> load = new HashMap<>();
        double total = Arrays.stream(keyLoad).sum();
        for (int key = 0; key < KEYS; key++) {
            load.merge(sliceOfKey[key], Math.round(keyLoad[key] / total * LOAD_SCALE), Long::sum);
        }
        return load;
    }

    private static double imbalance(SliceTable table, Map<Integer, Long> load) {
        Map<String, Long> byTarget = new HashMap<>();
        for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
            byTarget.merge(table.slices().get(slice).owner().orElseThrow(), load.getOrDefault(slice, 0L), Long::sum);
        }
        double mean = byTarget.values().stream().mapToLong(Long::longValue).sum() / (double) TARGETS;
        return byTarget.values().stream().mapToLong(Long::longValue).max().orElse(0) / mean;
    }
}
