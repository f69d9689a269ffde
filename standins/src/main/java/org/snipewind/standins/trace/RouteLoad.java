package org.snipewind.standins.trace;

/**
 * Load of one route.
 *
 * @param path path prefix
 * @param weight number of the route's requests in proportion to that of the other routes
 * @param urgent whether the route is urgent
 * @param nonIdempotentFraction fraction of the route's requests that are not idempotent
 * @param keys number of keys; key popularity follows Zipf's law
 * @param meanServiceMillis mean of the exponentially distributed service time, not counting the minimum service time
 * @param deadlineMillis deadline of each request
 */
public record RouteLoad(
        String path,
        double weight,
        boolean urgent,
        double nonIdempotentFraction,
        int keys,
        double meanServiceMillis,
        long deadlineMillis) {}
