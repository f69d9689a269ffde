package org.snipewind.coordination.selection;

/**
 * What an entry instance knows about a target that could serve a request.
 *
 * @param target name of the target
 * @param dataCentre data centre of the target
 * @param available whether its supervisor would admit a request
 * @param inFlight number of requests sent whose response is still due
 * @param queued number of requests waiting
 * @param concurrencyLimit maximum number of requests that the target may run concurrently
 * @param latencyMicros recent latency of the target in microseconds
 * @param ageMillis age of this information in milliseconds
 * @param roundTripMicros network round-trip time to the target in microseconds
 */
public record Candidate(
        String target,
        String dataCentre,
        boolean available,
        int inFlight,
        int queued,
        int concurrencyLimit,
        long latencyMicros,
        long ageMillis,
        long roundTripMicros) {

    /**
     * Estimates the time that a request sent now would take.
     *
     * @return (in flight + queued + 1) / concurrency limit x latency + round trip, in microseconds
     */
    public double expectedMicros() {
        return (inFlight + queued + 1.0) / Math.max(1, concurrencyLimit) * Math.max(1, latencyMicros) + roundTripMicros;
    }

    /**
     * Returns the requests in progress relative to the concurrency limit.
     *
     * @return (in flight + queued) / concurrency limit
     */
    public double occupancy() {
        return (inFlight + queued) / (double) Math.max(1, concurrencyLimit);
    }
}
