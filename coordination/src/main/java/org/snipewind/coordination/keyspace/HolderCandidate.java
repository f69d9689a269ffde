package org.snipewind.coordination.keyspace;

/**
 * A target as a possible holder of keys.
 *
 * @param incarnation life of the target
 * @param capacityPerSecond requests a second that it can run
 * @param coldStarting whether it is in cold start, so that it gets keys only if no other target can have them
 */
public record HolderCandidate(String incarnation, double capacityPerSecond, boolean coldStarting) {}
