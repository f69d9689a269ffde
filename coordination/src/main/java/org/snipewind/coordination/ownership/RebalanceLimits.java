package org.snipewind.coordination.ownership;

/**
 * Limits of moves that are made to balance load.
 *
 * @param imbalanceThreshold ratio of the largest to the mean load above which slices move
 * @param maxMoves number of slices that may move for balance in one plan
 */
public record RebalanceLimits(double imbalanceThreshold, int maxMoves) {}
