package org.snipewind.protocol;

/**
 * A supervisor's view of the load of a target.
 *
 * @param target name of the target
 * @param available whether the supervisor would admit a request now
 * @param inFlight number of requests sent to the target and not responded to
 * @param queued number of requests waiting to be sent
 * @param limit largest number of concurrent requests to the target
 * @param latencyMicros recent latency of the target in microseconds; a request in flight counts by its age
 *     once that is higher
 */
public record LoadAnswer(String target, boolean available, int inFlight, int queued, int limit, long latencyMicros)
        implements PeerMessage {}
