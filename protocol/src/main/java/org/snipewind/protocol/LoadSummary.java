package org.snipewind.protocol;

import java.util.List;

/**
 * What an entry instance saw since its last report, sent to the leader.
 *
 * @param keys requests by key of keyed pools
 * @param timings answer times of targets of keyed pools
 */
public record LoadSummary(List<KeyCount> keys, List<TargetTiming> timings) implements PeerMessage {

    /**
     * Requests for a key.
     *
     * @param pool name of the pool
     * @param key the key
     * @param requests number of requests
     */
    public record KeyCount(String pool, int key, int requests) {}

    /**
     * Answer times of a target.
     *
     * @param life life of the target
     * @param answers number of answers
     * @param meanMillis mean time of an answer in milliseconds
     */
    public record TargetTiming(String life, int answers, double meanMillis) {}
}
