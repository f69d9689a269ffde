package org.snipewind.clients.target;

import java.util.Set;

/**
 * A supervisor's order that gives a target the right to serve.
 *
 * @param target name of the target
 * @param token fencing token of the supervisor
 * @param tableVersion version of the slice table from which the slices were taken, 0 for an undivided pool
 * @param slices slices that the target may serve, empty for an undivided pool
 * @param validUntilTargetMillis end of the grant as a reading of the target's clock; 0 asks only for that reading
 */
public record GrantOrder(
        String target, long token, long tableVersion, Set<Integer> slices, long validUntilTargetMillis) {}
