package org.snipewind.protocol;

/**
 * A peer's newest version of a record.
 *
 * @param name store key of the record
 * @param version version of the record itself, 0 if the peer has none
 * @param content encoded record, empty if the peer has none
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordAnswer(String name, long version, byte[] content) implements PeerMessage {}
