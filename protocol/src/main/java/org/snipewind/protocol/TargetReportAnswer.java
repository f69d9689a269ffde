package org.snipewind.protocol;

/**
 * The pool coordinator's answer to a report about a target.
 *
 * @param accepted whether every later plan of the coordinator, and no earlier one that is still being written, takes
 *     the report into account
 * @param tableVersion version of the slice table from which on the target's slices may be granted after the report
 */
public record TargetReportAnswer(boolean accepted, long tableVersion) implements PeerMessage {}
