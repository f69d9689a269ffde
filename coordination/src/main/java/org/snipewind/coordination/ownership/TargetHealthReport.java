package org.snipewind.coordination.ownership;

/**
 * The pool coordinator's view of a target.
 *
 * @param target name of the target
 * @param health what the supervisor reports
 * @param releasedVersion newest table version for which the target holds no slice beyond those that it may serve
 */
public record TargetHealthReport(String target, TargetHealth health, long releasedVersion) {}
