package org.snipewind.protocol;

/**
 * A supervisor's view of the load of a target.
 *
 * @param target name of the target
 * @param available whether the supervisor would admit a request now
 * @param inFlight requests sent and not answered
 * @param queued requests waiting
 * @param limit requests that the target may run at a time
 * @param latencyMicros recent latency of the target in microseconds, with unanswered requests counted by their age
 */
public record LoadAnswer(String target, boolean available, int inFlight, int queued, int limit, long latencyMicros)
        implements PeerMessage {}
