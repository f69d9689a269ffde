package org.snipewind.coordination.routing;

import java.util.List;
import java.util.Optional;

/**
 * A rule that maps requests with a host and path prefix to pools.
 *
 * @param name name of the route
 * @param host host name that it matches
 * @param pathPrefix path prefix that it matches, beginning and ending with a slash
 * @param kind what may be done with its requests
 * @param timeoutMillis maximum time from a request to its response
 * @param latencyObjectiveMillis latency within which a response has its full value
 * @param priority priority of the route, 0 for the most urgent
 * @param shares pools that serve the route, with their weights; empty if its requests can't be served
 * @param maxAttempts maximum number of targets to which one request may be sent
 * @param anonymous whether requests need no organisation's key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        List<PoolShare> shares,
        int maxAttempts,
        boolean anonymous) {

    /**
     * Returns whether a request may run more than once.
     *
     * @return false if it may run once at most
     */
    public boolean idempotent() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.LARGE_RESPONSE;
    }

    /**
     * Chooses a pool with a probability in proportion to its weight.
     *
     * @param draw uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     * @return name of the pool, empty if no pool serves the route
     */
    public Optional<String> poolFor(double draw) {
        double totalWeight = 0;
        for (PoolShare share : shares) {
            totalWeight += share.weight();
        }
        double remainingWeight = draw * totalWeight;
        for (PoolShare share : shares) {
            remainingWeight -= share.weight();
            if (remainingWeight < 0) {
                return Optional.of(share.pool());
            }
        }
        return shares.isEmpty()
                ? Optional.empty()
                : Optional.of(shares.get(shares.size() - 1).pool());
    }
}
