package org.snipewind.coordination.routing;

/**
 * A pool and its share of the requests of a route.
 *
 * @param pool name of the pool
 * @param weight share relative to the weights of the route's other pools, not negative
 */
public record PoolShare(String pool, double weight) {}
