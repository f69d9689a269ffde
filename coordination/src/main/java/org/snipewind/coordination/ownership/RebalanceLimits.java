package org.snipewind.coordination.ownership;

/**
 * Limits on the moves that balance load.
 *
 * @param imbalanceThreshold ratio of the largest to the mean load above which slices move
 * @param maxMoves maximum number of slices that one plan moves to balance load
 */
public record RebalanceLimits(double imbalanceThreshold, int maxMoves) {}
