package org.snipewind.coordination.keyspace;

/**
 * A target that may become the holder of keys.
 *
 * @param incarnation incarnation of the target
 * @param capacityPerSecond requests per second that it can run
 * @param coldStarting whether it is in cold start; it then gets keys only if every other target is too
 */
public record HolderCandidate(String incarnation, double capacityPerSecond, boolean coldStarting) {}
