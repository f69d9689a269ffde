package org.snipewind.protocol;

/**
 * Answer to a {@link LoadSummary}.
 *
 * @param accepted false if the answering instance is not the leader
 */
public record ReportAnswer(boolean accepted) implements PeerMessage {}
