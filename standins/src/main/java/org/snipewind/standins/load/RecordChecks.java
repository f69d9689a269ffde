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

/** Compares the outcomes reported to callers with the execution and grant records of the targets. */
public final class RecordChecks {

    private RecordChecks() {}

    /**
     * Counts the executions of each request, identified by its unique path and query.
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
     * Counts the non-idempotent requests that ran more than once.
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
     * Counts the requests that ran although they were reported to the caller as not run.
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
     * Counts the cases in which two targets of a pool held the same slice at the same time.
     *
     * @param targets all targets whose processes still have their records
     * @return number of grants that start before the end of the latest-ending earlier grant, if another target held it
     */
    public static long overlaps(List<TargetHandle> targets) {
        Map<String, List<GrantInterval>> intervalsBySlice = new TreeMap<>();
        for (TargetHandle target : targets) {
            for (GrantInterval interval : target.grantIntervals()) {
                intervalsBySlice
                        .computeIfAbsent(target.pool() + "/" + interval.slice(), ignored -> new ArrayList<>())
                        .add(interval);
            }
        }
        return intervalsBySlice.values().stream()
                .mapToLong(RecordChecks::countOverlaps)
                .sum();
    }

    private static long countOverlaps(List<GrantInterval> intervals) {
        intervals.sort(Comparator.comparingLong(GrantInterval::fromMicros));
        long count = 0;
        GrantInterval latestEnding = null;
        for (GrantInterval interval : intervals) {
            if (latestEnding != null
                    && interval.fromMicros() < latestEnding.untilMicros()
                    && !interval.target().equals(latestEnding.target())) {
                count++;
            }
            if (latestEnding == null || interval.untilMicros() > latestEnding.untilMicros()) {
                latestEnding = interval;
            }
        }
        return count;
    }
}
