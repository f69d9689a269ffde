package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * State and counters of a stand-in for a target.
 *
 * @param name name of the target
 * @param incarnation incarnation of the target
 * @param cold whether it is in cold start
 * @param inProgress number of requests that run or wait
 * @param highestColdInProgress maximum of the requests in progress during all cold starts
 * @param falls number of outages after an overload in cold start
 * @param executions number of executions since the start
 * @param fenced number of requests rejected because of their token or slice
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
