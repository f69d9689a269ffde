package org.snipewind.protocol;

/**
 * Answer to a {@link TermEndRequest}.
 *
 * @param ended whether the answering instance no longer acts under that lease and never will again
 */
public record TermEndAnswer(boolean ended) implements PeerMessage {}
