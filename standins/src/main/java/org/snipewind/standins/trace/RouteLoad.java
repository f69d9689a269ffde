package org.snipewind.standins.trace;

/**
 * Requests of one route.
 *
 * @param path path prefix
 * @param share part of all requests that go to the route
 * @param urgent whether the route is urgent
 * @param writeShare part of the route's requests that are not idempotent
 * @param keys number of keys; key popularity follows Zipf's law
 * @param meanServiceMillis mean of the exponentially distributed service time above the shortest one
 * @param deadlineMillis deadline of each request
 */
public record RouteLoad(
        String path,
        double share,
        boolean urgent,
        double writeShare,
        int keys,
        double meanServiceMillis,
        long deadlineMillis) {}
