package org.snipewind.command.replay;

import io.micronaut.serde.annotation.Serdeable;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Totals of a replay.
 *
 * @param requests requests of the trace
 * @param answers requests that a target answered
 * @param answersByStatus answers by HTTP status
 * @param refusals requests that did not run, by reason
 * @param unknown requests of which the caller can't tell whether they ran, by reason
 * @param ran requests that ran without an answer for the caller, by reason
 * @param latency latency of all answered requests
 * @param urgentLatency latency of the answered requests on urgent routes
 * @param shareInTime by organisation, share of its requests answered within their deadline
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
     * @return the totals
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
            List<ReplayResult> results, OutcomeKind kind, Function<ReplayResult, String> label) {
        return results.stream()
                .filter(result -> result.kind() == kind)
                .collect(Collectors.groupingBy(label, TreeMap::new, Collectors.counting()));
    }
}
