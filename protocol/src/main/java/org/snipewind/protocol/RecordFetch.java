package org.snipewind.protocol;

/**
 * Asks a peer for the newest version of a record that it has.
 *
 * @param name store key of the record
 */
public record RecordFetch(String name) implements PeerMessage {}
