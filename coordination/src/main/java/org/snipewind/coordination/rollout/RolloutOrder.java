package org.snipewind.coordination.rollout;

/**
 * An operator's order to move the requests of a pool to the targets of a version.
 *
 * @param version version to move to
 * @param durationMillis time in which the roll-out is to be completed
 * @param revision revision of the store at which the order was written
 */
public record RolloutOrder(String version, long durationMillis, long revision) {}
