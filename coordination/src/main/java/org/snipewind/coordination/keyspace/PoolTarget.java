package org.snipewind.coordination.keyspace;

/**
 * A target of a keyed pool that may hold keys.
 *
 * @param incarnation incarnation of the target
 * @param slots number of requests that it runs concurrently
 * @param coldStarting whether it is in cold start
 * @param capacityFactor fraction of its capacity that counts when keys are assigned
 */
public record PoolTarget(String incarnation, int slots, boolean coldStarting, double capacityFactor) {}
