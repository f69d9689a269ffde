package org.snipewind.coordination.routing;

import java.util.List;

/**
 * A rule that says where requests of a host and path go.
 *
 * @param name name of the route
 * @param host host header that it matches
 * @param pathPrefix path prefix that it matches, beginning and ending with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis longest time that a request may be kept waiting
 * @param latencyObjectiveMillis latency within which an answer has its full value
 * @param priority rank of the route, 0 is the most urgent
 * @param shares pools that serve the route; weights are relative
 * @param maxAttempts most targets to which one request may be sent
 * @param anonymous whether requests need no organisation's key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean idempotent,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        List<PoolShare> shares,
        int maxAttempts,
        boolean anonymous) {

    /**
     * Chooses a pool in proportion to the weights.
     *
     * @param draw uniform random number from 0 (inclusive) to 1 (exclusive)
     * @return name of the pool
     */
    public String poolFor(double draw) {
        double total = 0;
        for (PoolShare share : shares) {
            total += share.weight();
        }
        double rest = draw * total;
        for (PoolShare share : shares) {
            rest -= share.weight();
            if (rest < 0) {
                return share.pool();
            }
        }
        return shares.get(shares.size() - 1).pool();
    }
}
