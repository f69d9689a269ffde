package org.snipewind.coordination.keyspace;

/**
 * A target as a possible holder of keys.
 *
 * @param life life of the target
 * @param capacity requests a second that it can run
 * @param cold whether it is in cold start, so that it gets keys only if no other target can have them
 */
public record HolderView(String life, double capacity, boolean cold) {}
