package org.snipewind.protocol;

/**
 * Asks a peer for its newest version of a record.
 *
 * @param name store key of the record
 */
public record RecordFetch(String name) implements PeerMessage {}
