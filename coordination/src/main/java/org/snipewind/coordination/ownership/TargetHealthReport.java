package org.snipewind.coordination.ownership;

/**
 * What the pool coordinator knows about a target.
 *
 * @param target name of the target
 * @param health health that the supervisor reports
 * @param releasedVersion newest table version for which the target has released all slices that it may not serve
 */
public record TargetHealthReport(String target, TargetHealth health, long releasedVersion) {}
