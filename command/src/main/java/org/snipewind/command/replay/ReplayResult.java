package org.snipewind.command.replay;

import java.util.Optional;
import org.snipewind.clients.transport.HttpAnswer;

/**
 * What became of one request of a replay; times are microseconds from the start of the replay.
 *
 * @param id id of the request, which its query carries as {@code request}
 * @param uri path and query that were sent
 * @param request the request
 * @param intendedMicros intended time of sending
 * @param sentMicros time of sending
 * @param endMicros time at which the outcome was known
 * @param kind what the caller knows
 * @param reason error kind of a refusal, stage of a failed exchange, or empty for an answer
 * @param response the answer, or empty if none arrived
 */
public record ReplayResult(
        String id,
        String uri,
        TraceRequest request,
        long intendedMicros,
        long sentMicros,
        long endMicros,
        OutcomeKind kind,
        String reason,
        Optional<HttpAnswer> response) {

    private static final long MICROS_PER_MILLISECOND = 1_000;

    /**
     * Gives the latency as the caller's user sees it.
     *
     * @return microseconds from the intended sending to the end
     */
    public long latencyMicros() {
        return endMicros - intendedMicros;
    }

    /**
     * Tells whether the answer was of use.
     *
     * @return true if a target's answer arrived within the deadline
     */
    public boolean isAnsweredInTime() {
        return kind == OutcomeKind.ANSWERED && latencyMicros() <= request.deadlineMillis() * MICROS_PER_MILLISECOND;
    }
}
