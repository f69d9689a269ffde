package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.clients.store.RecordCodec;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.fleet.RoleRequirement;
import org.snipewind.coordination.ownership.RebalanceLimits;
import org.snipewind.coordination.ownership.SliceAssignmentPlanner;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.coordination.ownership.TargetHealth;
import org.snipewind.coordination.ownership.TargetHealthReport;

/** Measures size and processor time of the records of the store against the size of the fleet. */
final class RecordsMeasurement implements Measurement {

    private static final int[] DAEMONS = {9, 27, 81, 243, 729};
    private static final int TARGETS_PER_DAEMON = 4;
    private static final int DATA_CENTRES = 7;
    private static final int WARM_UP_ROUNDS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "records";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        List<MeasurementResult> results = new ArrayList<>();
        for (int daemons : DAEMONS) {
            String variant = daemons == DAEMONS[0] ? MeasurementResult.BASELINE : daemons + "-daemons";
            FleetRecord fleet = fleet(daemons);
            byte[] content = RecordCodec.encode(fleet);
            add(results, options, variant, "fleet record, bytes", content.length);
            add(
                    results,
                    options,
                    variant,
                    "decode of the fleet record, ms",
                    millis(() -> RecordCodec.fleetRecord(content)));
            String lost = fleet.members().keySet().iterator().next();
            Map<String, RoleRequirement> requirements = requirements(daemons);
            add(
                    results,
                    options,
                    variant,
                    "leave of one member, ms",
                    millis(() -> FleetTransitions.leave(fleet, lost, requirements, "writer")));
            tables(results, options, variant, daemons * TARGETS_PER_DAEMON);
        }
        return results;
    }

    private static void tables(
            List<MeasurementResult> results, MeasurementOptions options, String variant, int targets) {
        Map<String, TargetHealthReport> views = new TreeMap<>();
        for (int number = 0; number < targets; number++) {
            String target = "target-" + number;
            views.put(target, new TargetHealthReport(target, TargetHealth.LIVE, 0));
        }
        RebalanceLimits limits = new RebalanceLimits(1.2, 0);
        SliceTable table = SliceAssignmentPlanner.plan(SliceTable.empty("pool"), views, Map.of(), limits, "writer")
                .orElseThrow();
        add(results, options, variant, "slice table, bytes", RecordCodec.encode(table).length);
        views.put("target-0", new TargetHealthReport("target-0", TargetHealth.LOST, 0));
        add(
                results,
                options,
                variant,
                "plan after the loss of a target, ms",
                millis(() -> SliceAssignmentPlanner.plan(table, views, Map.of(), limits, "writer")));
    }

    private static void add(
            List<MeasurementResult> results, MeasurementOptions options, String variant, String unit, double value) {
        results.add(MeasurementResult.of("records", options.deployment(), variant, unit, value));
    }

    private static FleetRecord fleet(int daemons) {
        FleetRecord record = FleetRecord.EMPTY;
        for (int number = 0; number < daemons; number++) {
            Member member = new Member(
                    "entry-" + number + "-0a1b2c3d",
                    "region-" + number % 3,
                    "data-centre-" + number % DATA_CENTRES,
                    "10.0." + number / 250 + "." + number % 250 + ":7400",
                    "10.0." + number / 250 + "." + number % 250 + ":7300",
                    List.of());
            record = FleetTransitions.join(record, member, "writer").orElseThrow();
        }
        for (String id : List.copyOf(record.members().keySet())) {
            Optional<FleetRecord> regrouped = FleetTransitions.reselectLeaseGroup(record, id, "writer");
            record = regrouped.orElse(record);
        }
        return FleetTransitions.placeRoles(record, requirements(daemons), "writer")
                .orElseThrow();
    }

    private static Map<String, RoleRequirement> requirements(int daemons) {
        Map<String, RoleRequirement> requirements = new HashMap<>();
        for (int number = 0; number < daemons * TARGETS_PER_DAEMON; number++) {
            String role = RoleNames.target("target-" + number);
            requirements.put(
                    role,
                    new RoleRequirement(
                            role,
                            Optional.of("region-" + number % 3),
                            Optional.of("data-centre-" + number % DATA_CENTRES)));
        }
        return requirements;
    }

    /** Times a task after some rounds of warm-up; the median of five rounds. */
    private static double millis(Runnable task) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            task.run();
        }
        List<Double> times = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            long start = System.nanoTime();
            task.run();
            times.add((System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        times.sort(null);
        return times.get(times.size() / 2);
    }
}
