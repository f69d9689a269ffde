package org.snipewind.standins.load;

/**
 * The end of a request of a load.
 *
 * @param request the request
 * @param status HTTP status, 0 if no answer came
 * @param error error kind of a refusal, empty for an answer
 * @param execution whether a refused request ran, as the caller was told; empty for an answer
 * @param endNanos time of the end, counted from the start of the load
 */
public record LoadOutcome(LoadRequest request, int status, String error, String execution, long endNanos) {

    /**
     * Tells whether the target answered.
     *
     * @return true for an answer of the target
     */
    public boolean isAnswered() {
        return status >= 200 && status < 300;
    }

    /**
     * Gives the latency.
     *
     * @return nanoseconds from the intended send time to the end
     */
    public long latencyNanos() {
        return endNanos - request.atNanos();
    }
}
