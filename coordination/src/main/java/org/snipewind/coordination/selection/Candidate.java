package org.snipewind.coordination.selection;

/**
 * What an entry knows of a target that could serve a request.
 *
 * @param target name of the target
 * @param dataCentre data centre of the target
 * @param available whether its supervisor would admit a request
 * @param inFlight requests sent and not answered
 * @param queued requests waiting
 * @param concurrencyLimit requests that the target may run at a time
 * @param latencyMicros recent latency of the target in microseconds
 * @param ageMillis age of this information in milliseconds
 * @param roundTripMicros time for the way to the target and back in microseconds
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
     * @return (in flight + queued + 1) / limit x latency + distance, in microseconds
     */
    public double expectedMicros() {
        return (inFlight + queued + 1.0) / Math.max(1, concurrencyLimit) * Math.max(1, latencyMicros) + roundTripMicros;
    }

    /**
     * Gives the requests in progress relative to what the target may run.
     *
     * @return (in flight + queued) / limit
     */
    public double occupancy() {
        return (inFlight + queued) / (double) Math.max(1, concurrencyLimit);
    }
}
