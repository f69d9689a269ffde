package org.snipewind.command.replay;

import io.micronaut.serde.annotation.Serdeable;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Summary of the outcomes of a replay.
 *
 * @param requests number of requests of the trace
 * @param answers number of requests that a target answered
 * @param answersByStatus number of answered requests, by HTTP status
 * @param refusals number of requests that did not run, by reason
 * @param unknown number of requests of which it is not known whether they ran, by reason
 * @param ran number of requests that ran but whose caller received no response of the target, by reason
 * @param latency latency of all answered requests
 * @param urgentLatency latency of the answered requests on urgent routes
 * @param shareInTime fraction of the requests that were answered within their deadline, by organisation
 */
@Serdeable
public record ReplaySummary(
        long requests,
        long answers,
        Map<String, Long> answersByStatus,
        Map<String, Long> refusals,
        Map<String, Long> unknown,
        Map<String, Long> ran,
        LatencySummary latency,
        LatencySummary urgentLatency,
        Map<String, Double> shareInTime) {

    /**
     * Summarises the outcomes of a replay.
     *
     * @param results outcomes of all requests
     * @return the summary
     */
    public static ReplaySummary of(List<ReplayResult> results) {
        Map<String, Long> answers = count(
                results,
                OutcomeKind.ANSWERED,
                result -> String.valueOf(result.response().orElseThrow().status()));
        return new ReplaySummary(
                results.size(),
                answers.values().stream().mapToLong(Long::longValue).sum(),
                answers,
                count(results, OutcomeKind.NOT_RUN, ReplayResult::reason),
                count(results, OutcomeKind.UNKNOWN, ReplayResult::reason),
                count(results, OutcomeKind.RAN, ReplayResult::reason),
                LatencySummary.of(results),
                LatencySummary.of(results.stream()
                        .filter(result -> result.request().urgent())
                        .toList()),
                results.stream()
                        .collect(Collectors.groupingBy(
                                result -> result.request().organisation(),
                                TreeMap::new,
                                Collectors.averagingDouble(result -> result.isAnsweredInTime() ? 1 : 0))));
    }

    private static Map<String, Long> count(
            List<ReplayResult> results, OutcomeKind kind, Function<ReplayResult, String> groupBy) {
        return results.stream()
                .filter(result -> result.kind() == kind)
                .collect(Collectors.groupingBy(groupBy, TreeMap::new, Collectors.counting()));
    }
}
