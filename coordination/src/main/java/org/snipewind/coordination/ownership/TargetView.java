package org.snipewind.coordination.ownership;

/**
 * The pool coordinator's view of a target.
 *
 * @param target name of the target
 * @param standing what the supervisor reports
 * @param releasedVersion newest table version for which the target holds no slice beyond those that it may serve
 */
public record TargetView(String target, TargetStanding standing, long releasedVersion) {}
