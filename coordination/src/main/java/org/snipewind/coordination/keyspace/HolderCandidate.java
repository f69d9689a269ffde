package org.snipewind.coordination.keyspace;

/**
 * A target that may become the holder of keys.
 *
 * @param incarnation incarnation of the target
 * @param capacityPerSecond requests per second that it can run; in cold start, those that it may get
 * @param coldStarting whether it is in cold start; it then gets keys only as far as the other targets have no capacity
 *     for them
 */
public record HolderCandidate(String incarnation, double capacityPerSecond, boolean coldStarting) {}
