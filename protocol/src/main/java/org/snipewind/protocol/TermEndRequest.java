package org.snipewind.protocol;

/**
 * Asks a former leader to end its term. A successor has ended its lease, which it may not know yet.
 *
 * @param lease the former leader's lease, which the successor has ended
 */
public record TermEndRequest(long lease) implements PeerMessage {}
