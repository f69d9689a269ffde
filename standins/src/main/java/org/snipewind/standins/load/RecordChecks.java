package org.snipewind.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipewind.standins.deployment.TargetHandle;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;

/** Compares what callers were told with the records of the targets. */
public final class RecordChecks {

    private RecordChecks() {}

    /**
     * Counts executions by the unique path and query of the requests.
     *
     * @param targets targets whose processes still have their records
     * @return number of executions by path and query
     */
    public static Map<String, Integer> executionsByUri(List<TargetHandle> targets) {
        Map<String, Integer> counts = new HashMap<>();
        for (TargetHandle target : targets) {
            for (ExecutionRecord execution : target.executions()) {
                counts.merge(execution.uri(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Counts requests that are not idempotent and ran more than once.
     *
     * @param outcomes outcomes of a load with unique queries; only GET and HEAD are idempotent
     * @param executions number of executions by path and query
     * @return number of requests
     */
    public static long runTwice(List<LoadOutcome> outcomes, Map<String, Integer> executions) {
        return outcomes.stream()
                .map(LoadOutcome::request)
                .filter(request -> !List.of("GET", "HEAD").contains(request.method()))
                .filter(request -> executions.getOrDefault(request.uri(), 0) > 1)
                .count();
    }

    /**
     * Counts requests that ran although the caller was told that they did not.
     *
     * @param outcomes outcomes of a load with unique queries
     * @param executions number of executions by path and query
     * @return number of requests
     */
    public static long falseNotRun(List<LoadOutcome> outcomes, Map<String, Integer> executions) {
        return outcomes.stream()
                .filter(outcome -> outcome.execution().equals("not-run"))
                .filter(outcome -> executions.containsKey(outcome.request().uri()))
                .count();
    }

    /**
     * Counts the times during which two targets of a pool held one slice.
     *
     * @param targets all targets whose processes still have their records
     * @return number of overlapping pairs of neighbours in time
     */
    public static long overlaps(List<TargetHandle> targets) {
        Map<String, List<GrantInterval>> bySlice = new TreeMap<>();
        for (TargetHandle target : targets) {
            for (GrantInterval interval : target.grantIntervals()) {
                bySlice.computeIfAbsent(target.pool() + "/" + interval.slice(), ignored -> new ArrayList<>())
                        .add(interval);
            }
        }
        return bySlice.values().stream().mapToLong(RecordChecks::overlapsOf).sum();
    }

    private static long overlapsOf(List<GrantInterval> intervals) {
        intervals.sort(Comparator.comparingLong(GrantInterval::fromMicros));
        long count = 0;
        GrantInterval latest = null;
        for (GrantInterval interval : intervals) {
            if (latest != null
                    && interval.fromMicros() < latest.untilMicros()
                    && !interval.target().equals(latest.target())) {
                count++;
            }
            if (latest == null || interval.untilMicros() > latest.untilMicros()) {
                latest = interval;
            }
        }
        return count;
    }
}
