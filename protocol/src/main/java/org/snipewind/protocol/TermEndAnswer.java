package org.snipewind.protocol;

/**
 * Answer to a {@link TermEndRequest}.
 *
 * @param ended true if the receiver does not act under that lease any more and never will
 */
public record TermEndAnswer(boolean ended) implements PeerMessage {}
