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
 * Measures imbalance and churn of the planner's assignments under a seeded, skewed load whose hot keys change. The
 * baselines are consistent hashing and an assignment without moves. Only the planner runs, no daemons or targets.
 */
final class BalanceRun {

    private static final String PLANNER_ONLY = "planner";
    private static final double IMBALANCE_GOAL = 1.25;
    private static final double MOVED_PERCENT_GOAL = 1;
    private static final int TARGETS = 15;
    private static final int KEYS = 20_000;
    private static final double ZIPF_EXPONENT = 0.8;
    private static final int SIMULATED_HOURS = 6;
    private static final int ROUNDS_PER_HOUR = 60;
    private static final int ROUNDS_BETWEEN_SHIFTS = 20;
    private static final int SHIFTED_KEYS = 10;
    private static final double IMBALANCE_THRESHOLD = 1.2;
    private static final double MOVES_PER_HOUR = SliceTable.SLICE_COUNT / 100;
    private static final int VIRTUAL_NODES_PER_TARGET = 100;
    private static final long TOTAL_LOAD = 1_000_000;

    private final Random random;
    private final double[] loadByKey = new double[KEYS];
    private final int[] sliceByKey = new int[KEYS];
    private int movedSlices;

    private BalanceRun(long seed) {
        random = new Random(seed);
        for (int key = 0; key < KEYS; key++) {
            loadByKey[key] = 1 / Math.pow(key + 1.0, ZIPF_EXPONENT);
            sliceByKey[key] = KeyHasher.sliceOf("sheet-" + seed + "-" + key);
        }
    }

    static List<MeasurementResult> measure(MeasurementOptions options) {
        return new BalanceRun(options.seed()).run();
    }

    private List<MeasurementResult> run() {
        SliceTable table = planUntilStable(SliceTable.empty("pool"), Map.of(), 0);
        SliceTable withoutMoves = table;
        SliceTable hashed = consistentHashing();
        double movesLeft = 0;
        double[] imbalanceSums = new double[3];
        for (int round = 0; round < SIMULATED_HOURS * ROUNDS_PER_HOUR; round++) {
            if (round % ROUNDS_BETWEEN_SHIFTS == ROUNDS_BETWEEN_SHIFTS - 1) {
                shiftHotKeys();
            }
            Map<Integer, Long> load = loadBySlice();
            movesLeft = Math.min(MOVES_PER_HOUR, movesLeft + MOVES_PER_HOUR / ROUNDS_PER_HOUR);
            int movedBefore = movedSlices;
            table = planUntilStable(table, load, (int) movesLeft);
            movesLeft -= movedSlices - movedBefore;
            double[] imbalances =
                    new double[] {imbalance(table, load), imbalance(hashed, load), imbalance(withoutMoves, load)};
            for (int variant = 0; variant < imbalanceSums.length; variant++) {
                imbalanceSums[variant] += imbalances[variant];
            }
        }
        int rounds = SIMULATED_HOURS * ROUNDS_PER_HOUR;
        return List.of(
                baselineResult(MeasurementResult.BASELINE + "-consistent-hashing", imbalanceSums[1] / rounds),
                baselineResult(MeasurementResult.BASELINE + "-no-moves", imbalanceSums[2] / rounds),
                MeasurementResult.atMost(
                        "balance.max-to-mean",
                        PLANNER_ONLY,
                        "planner",
                        "ratio",
                        imbalanceSums[0] / rounds,
                        IMBALANCE_GOAL),
                MeasurementResult.atMost(
                        "balance.moved",
                        PLANNER_ONLY,
                        "planner",
                        "% of slices an hour",
                        100.0 * movedSlices / SIMULATED_HOURS / SliceTable.SLICE_COUNT,
                        MOVED_PERCENT_GOAL));
    }

    private static MeasurementResult baselineResult(String variant, double value) {
        return MeasurementResult.of("balance.max-to-mean", PLANNER_ONLY, variant, "ratio", value);
    }

    /** Plans until the table no longer changes; each release is acknowledged in the next step. */
    private SliceTable planUntilStable(SliceTable table, Map<Integer, Long> load, int movesAllowed) {
        SliceTable current = table;
        int allowed = movesAllowed;
        while (true) {
            Map<String, TargetHealthReport> healthReports = new TreeMap<>();
            for (int target = 0; target < TARGETS; target++) {
                healthReports.put(
                        "target-" + target,
                        new TargetHealthReport("target-" + target, TargetHealth.LIVE, current.version()));
            }
            Optional<SliceTable> next = SliceAssignmentPlanner.plan(
                    current, healthReports, load, new RebalanceLimits(IMBALANCE_THRESHOLD, allowed), "measure");
            if (next.isEmpty()) {
                return current;
            }
            int changes = countOwnerChanges(current, next.get());
            movedSlices += changes;
            allowed = Math.max(0, allowed - changes);
            current = next.get();
        }
    }

    private static int countOwnerChanges(SliceTable movedBefore, SliceTable after) {
        int count = 0;
        for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
            Optional<String> owner = movedBefore.slices().get(slice).owner();
            count +=
                    owner.isPresent() && !owner.equals(after.slices().get(slice).owner()) ? 1 : 0;
        }
        return count;
    }

    private static SliceTable consistentHashing() {
        TreeMap<Long, String> points = new TreeMap<>();
        for (int target = 0; target < TARGETS; target++) {
            for (int node = 0; node < VIRTUAL_NODES_PER_TARGET; node++) {
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
            double load = loadByKey[hot];
            loadByKey[hot] = loadByKey[cold];
            loadByKey[cold] = load;
        }
    }

    private Map<Integer, Long> loadBySlice() {
        Map<Integer, Long> load = new HashMap<>();
        double total = Arrays.stream(loadByKey).sum();
        for (int key = 0; key < KEYS; key++) {
            load.merge(sliceByKey[key], Math.round(loadByKey[key] / total * TOTAL_LOAD), Long::sum);
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
