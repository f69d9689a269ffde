package org.snipewind.protocol;

/**
 * Asks a former leader to end its term, since a successor has ended its lease; it may not know of that yet.
 *
 * @param lease the lease that the successor has ended
 */
public record TermEndRequest(long lease) implements PeerMessage {}
