package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * One execution of a request by a target.
 *
 * @param target name of the target
 * @param incarnation incarnation of the target
 * @param requestId id of the request
 * @param organisation name of the organisation, empty if none was given
 * @param slice slice of the sharding key, -1 if there is none
 * @param uri path and query
 * @param token fencing token, -1 if there is none
 * @param startMicros start in microseconds since the epoch
 * @param endMicros end in microseconds since the epoch, 0 while the request runs
 * @param outcome {@code running}, {@code finished}, {@code cancelled}, {@code expired} or {@code aborted}
 */
@Serdeable
public record ExecutionRecord(
        String target,
        String incarnation,
        String requestId,
        String organisation,
        int slice,
        String uri,
        long token,
        long startMicros,
        long endMicros,
        String outcome) {

    ExecutionRecord withEnd(long newEndMicros, String newOutcome) {
        return new ExecutionRecord(
                target, incarnation, requestId, organisation, slice, uri, token, startMicros, newEndMicros, newOutcome);
    }
}
