package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * State and counters of a target.
 *
 * @param name name of the target
 * @param incarnation run of the target
 * @param cold whether it is in cold start
 * @param inProgress requests that run or wait
 * @param highestColdInProgress most requests in progress at a time while cold, over all cold starts
 * @param falls how often it fell over
 * @param executions executions since the start
 * @param fenced requests refused because of token or slice
 */
@Serdeable
public record TargetStandInReport(
        String name,
        String incarnation,
        boolean cold,
        int inProgress,
        int highestColdInProgress,
        int falls,
        long executions,
        long fenced) {}
