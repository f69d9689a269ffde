package org.snipewind.protocol;

import java.util.List;

/**
 * The load that an entry instance has observed since its last summary, sent to the leader.
 *
 * @param keys number of requests by key of keyed pools
 * @param timings response times of the targets of keyed pools
 */
public record LoadSummary(List<KeyCount> keys, List<TargetTiming> timings) implements PeerMessage {

    /**
     * Number of requests for a key.
     *
     * @param pool name of the pool
     * @param key the key, from 0 to 65,535
     * @param requests number of requests
     */
    public record KeyCount(String pool, int key, int requests) {}

    /**
     * Response times of a target.
     *
     * @param life incarnation of the target
     * @param answers number of responses
     * @param meanMillis mean response time in milliseconds
     */
    public record TargetTiming(String life, int answers, double meanMillis) {}
}
