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

/** Measures the size of the records in the store, and the time to process them, for several sizes of the fleet. */
final class RecordsMeasurement implements Measurement {

    private static final int[] DAEMON_COUNTS = {9, 27, 81, 243, 729};
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
        for (int daemons : DAEMON_COUNTS) {
            String variant = daemons == DAEMON_COUNTS[0] ? MeasurementResult.BASELINE : daemons + "-daemons";
            FleetRecord fleet = fleetRecord(daemons);
            byte[] encoded = RecordCodec.encode(fleet);
            addResult(results, options, variant, "fleet record, bytes", encoded.length);
            addResult(
                    results,
                    options,
                    variant,
                    "decode of the fleet record, ms",
                    medianMillis(() -> RecordCodec.decodeFleetRecord(encoded)));
            String leavingMember = fleet.members().keySet().iterator().next();
            Map<String, RoleRequirement> requirements = roleRequirements(daemons);
            addResult(
                    results,
                    options,
                    variant,
                    "leave of one member, ms",
                    medianMillis(() -> FleetTransitions.leave(fleet, leavingMember, requirements, "writer")));
            addSliceTableResults(results, options, variant, daemons * TARGETS_PER_DAEMON);
        }
        return results;
    }

    private static void addSliceTableResults(
            List<MeasurementResult> results, MeasurementOptions options, String variant, int targets) {
        Map<String, TargetHealthReport> healthReports = new TreeMap<>();
        for (int number = 0; number < targets; number++) {
            String target = "target-" + number;
            healthReports.put(target, new TargetHealthReport(target, TargetHealth.LIVE, 0));
        }
        RebalanceLimits limits = new RebalanceLimits(1.2, 0);
        SliceTable table = SliceAssignmentPlanner.plan(
                        SliceTable.empty("pool"), healthReports, Map.of(), limits, "writer")
                .orElseThrow();
        addResult(results, options, variant, "slice table, bytes", RecordCodec.encode(table).length);
        healthReports.put("target-0", new TargetHealthReport("target-0", TargetHealth.LOST, 0));
        addResult(
                results,
                options,
                variant,
                "plan after the loss of a target, ms",
                medianMillis(() -> SliceAssignmentPlanner.plan(table, healthReports, Map.of(), limits, "writer")));
    }

    private static void addResult(
            List<MeasurementResult> results, MeasurementOptions options, String variant, String unit, double value) {
        results.add(MeasurementResult.of("records", options.deployment(), variant, unit, value));
    }

    private static FleetRecord fleetRecord(int daemons) {
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
        return FleetTransitions.placeRoles(record, roleRequirements(daemons), "writer")
                .orElseThrow();
    }

    private static Map<String, RoleRequirement> roleRequirements(int daemons) {
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

    /** Returns the median duration of five runs of a task after some warm-up runs. */
    private static double medianMillis(Runnable task) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            task.run();
        }
        List<Double> timesMillis = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            long start = System.nanoTime();
            task.run();
            timesMillis.add((System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        timesMillis.sort(null);
        return timesMillis.get(timesMillis.size() / 2);
    }
}
