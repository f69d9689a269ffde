package org.snipewind.protocol;

/**
 * The pool coordinator's answer to a report about a target.
 *
 * @param accepted true if every plan that the coordinator makes from now on takes the report into account and no
 *     earlier plan is still being written
 * @param tableVersion version of the slice table from which on the target's slices may be granted after the report
 */
public record TargetReportAnswer(boolean accepted, long tableVersion) implements PeerMessage {}
