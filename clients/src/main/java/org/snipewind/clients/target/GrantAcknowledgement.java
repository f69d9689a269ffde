package org.snipewind.clients.target;

/**
 * A target's response to a grant request.
 *
 * @param accepted whether the grant is now in effect
 * @param highestToken the highest fencing token that the target has received
 * @param targetMillis reading of the target's clock when it responded
 * @param incarnation incarnation of the target; changes whenever its process restarts
 * @param releasedWork number of requests still running on slices outside the grant; 0 means that these are released
 * @param draining whether the target reports that it is leaving
 */
public record GrantAcknowledgement(
        boolean accepted,
        long highestToken,
        long targetMillis,
        String incarnation,
        int releasedWork,
        boolean draining) {}
