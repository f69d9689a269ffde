package org.snipewind.coordination.target;

/**
 * A target with the expected response time by which it was selected.
 *
 * @param target the target
 * @param scoreMillis expected response time with the costs of a new connection and of the distance, in milliseconds
 */
record ScoredTarget(TargetState target, double scoreMillis) {}
