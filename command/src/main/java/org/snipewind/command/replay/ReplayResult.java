package org.snipewind.command.replay;

import java.util.Optional;
import org.snipewind.clients.transport.BufferedResponse;

/**
 * Outcome of one request of a replay; times are in microseconds from the start of the replay.
 *
 * @param id id of the request, which its query carries as {@code request}
 * @param uri path and query of the request
 * @param request the request as it is in the trace
 * @param intendedMicros intended send time
 * @param sentMicros actual send time
 * @param endMicros time at which the outcome became known
 * @param kind kind of the outcome
 * @param reason error kind of a refusal, stage at which the exchange failed, or empty if a target answered
 * @param response the response of a target or of the router, or empty if none arrived
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
        Optional<BufferedResponse> response) {

    private static final long MICROS_PER_MILLISECOND = 1_000;

    /**
     * Returns the latency as a caller sees it, including a delay of the sender.
     *
     * @return microseconds from the intended send time to the end
     */
    public long latencyMicros() {
        return endMicros - intendedMicros;
    }

    /**
     * Returns whether a target answered in time.
     *
     * @return true if the response of a target arrived within the deadline
     */
    public boolean isAnsweredInTime() {
        return kind == OutcomeKind.ANSWERED && latencyMicros() <= request.deadlineMillis() * MICROS_PER_MILLISECOND;
    }
}
