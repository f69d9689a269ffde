package org.snipewind.protocol;

import java.util.List;

/**
 * What an instance has observed of the roll-outs in progress, sent to the leader. The counts are totals since the order
 * of each roll-out, so that the newest report of an instance replaces its earlier ones.
 *
 * @param pools observations by pool
 */
public record RolloutReport(List<PoolReport> pools) implements PeerMessage {

    /**
     * Observations of a pool.
     *
     * @param pool name of the pool
     * @param orderRevision revision of the order since which the counts are taken
     * @param recordRevision revision of the record that the instance applies, 0 if it knows none
     * @param othersInFlight number of its requests at targets of versions other than the ordered one
     * @param routes counts by version and route
     */
    public record PoolReport(
            String pool, long orderRevision, long recordRevision, int othersInFlight, List<RouteCount> routes) {}

    /**
     * Counts of a version on a route.
     *
     * @param version the version
     * @param route name of the route
     * @param requests number of requests that ended with a response or without one
     * @param bad number of those that failed
     * @param timed number of measured service times
     * @param serviceMillis sum of the measured service times
     */
    public record RouteCount(String version, String route, long requests, long bad, long timed, double serviceMillis) {}
}
