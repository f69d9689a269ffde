package org.snipewind.protocol;

/**
 * Answer to a {@link LoadSummary}.
 *
 * @param accepted false if the receiver does not lead
 */
public record ReportAnswer(boolean accepted) implements PeerMessage {}
