package org.snipewind.clients.target;

import java.util.Set;

/**
 * A supervisor's request that grants a target permission to serve until a given time.
 *
 * @param target name of the target
 * @param token fencing token of the supervisor
 * @param tableVersion version of the slice table from which the slices were taken, 0 for an undivided pool
 * @param slices slices that the target may serve; empty for an undivided pool
 * @param validUntilTargetMillis end of the grant on the target's clock; 0 only requests a reading of that clock
 */
public record GrantRequest(
        String target, long token, long tableVersion, Set<Integer> slices, long validUntilTargetMillis) {}
