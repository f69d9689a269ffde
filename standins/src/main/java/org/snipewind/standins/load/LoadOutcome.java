package org.snipewind.standins.load;

/**
 * Outcome of one request of a load.
 *
 * @param request the request
 * @param status HTTP status, 0 if there was no response
 * @param error error kind of a refusal, {@code no-answer} if there was no response, empty for a target's response
 * @param execution whether a refused request ran, as reported to the caller; {@code unknown} if there was no response,
 *     empty for a target's response
 * @param endNanos end of the request in nanoseconds since the start of the load
 */
public record LoadOutcome(LoadRequest request, int status, String error, String execution, long endNanos) {

    /**
     * Returns whether the request was served.
     *
     * @return true for a response with a 2xx status
     */
    public boolean isAnswered() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns the latency.
     *
     * @return nanoseconds from the intended send time to the end
     */
    public long latencyNanos() {
        return endNanos - request.atNanos();
    }
}
