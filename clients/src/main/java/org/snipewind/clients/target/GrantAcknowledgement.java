package org.snipewind.clients.target;

/**
 * A target's answer to a grant order.
 *
 * @param accepted whether the order is now in force
 * @param highestToken the highest token that the target has seen
 * @param targetMillis the target's clock when it answered
 * @param incarnation changes whenever the target restarts
 * @param releasedWork requests that still run on slices outside the order; 0 means that those slices are released
 * @param draining whether the target says that it is leaving
 */
public record GrantAcknowledgement(
        boolean accepted,
        long highestToken,
        long targetMillis,
        String incarnation,
        int releasedWork,
        boolean draining) {}
