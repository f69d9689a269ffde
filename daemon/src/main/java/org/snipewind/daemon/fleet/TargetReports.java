package org.snipewind.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.protocol.TargetReport;

/** The most recent reports of supervisors about the targets of divided pools, and the load by slice. */
final class TargetReports {

    // Weight of a new report in the moving average; a tenth lets the load follow a change within some seconds.
    private static final double NEW_REPORT_WEIGHT = 0.1;
    private static final double MIN_LOAD = 0.01;
    private static final long LOAD_SCALE = 1_000;

    private final Map<String, TargetReport> byTarget = new ConcurrentHashMap<>();
    private final Map<String, Map<Integer, Double>> loadByTarget = new ConcurrentHashMap<>();

    /** Adds a report unless a supervisor with a higher token has already reported; returns whether it was added. */
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

    Map<Integer, Long> loadBySlice(Iterable<String> targets) {
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
            known.forEach((slice, load) -> merged.put(slice, load * (1 - NEW_REPORT_WEIGHT)));
        }
        counts.forEach((slice, count) -> merged.merge(slice, count * NEW_REPORT_WEIGHT, Double::sum));
        merged.values().removeIf(load -> load < MIN_LOAD);
        return merged;
    }
}
