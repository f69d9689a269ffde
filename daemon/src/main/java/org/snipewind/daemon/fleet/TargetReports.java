package org.snipewind.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.protocol.TargetReport;

/** The newest reports of supervisors about the targets of divided pools, with the load by slice. */
final class TargetReports {

    // Each new report weighs a tenth, so that the load follows a change within some seconds.
    private static final double LOAD_WEIGHT = 0.1;
    private static final double NO_LOAD = 0.01;
    private static final long LOAD_SCALE = 1_000;

    private final Map<String, TargetReport> byTarget = new ConcurrentHashMap<>();
    private final Map<String, Map<Integer, Double>> loadByTarget = new ConcurrentHashMap<>();

    /** Adds a report unless a later supervisor has reported before. */
    boolean add(TargetReport report) {
        TargetReport known = byTarget.get(report.target());
        if (known != null && known.token() > report.token()) {
            return false;
        }
        byTarget.put(report.target(), report);
        loadByTarget.compute(report.target(), (target, load) -> merge(load, report.requestsBySlice()));
        return true;
    }

    Optional<TargetReport> find(String target) {
        return Optional.ofNullable(byTarget.get(target));
    }

    Map<Integer, Long> loadOf(Iterable<String> targets) {
        Map<Integer, Long> total = new HashMap<>();
        for (String target : targets) {
            loadByTarget
                    .getOrDefault(target, Map.of())
                    .forEach((slice, load) -> total.merge(slice, Math.round(load * LOAD_SCALE), Long::sum));
        }
        return total;
    }

    private static Map<Integer, Double> merge(Map<Integer, Double> known, Map<Integer, Long> counts) {
        Map<Integer, Double> merged = new HashMap<>();
        if (known != null) {
            known.forEach((slice, load) -> merged.put(slice, load * (1 - LOAD_WEIGHT)));
        }
        counts.forEach((slice, count) -> merged.merge(slice, count * LOAD_WEIGHT, Double::sum));
        merged.values().removeIf(load -> load < NO_LOAD);
        return merged;
    }
}
