package org.snipewind.protocol;

/**
 * The newest version of a record that a peer has, as the answer to a {@link RecordFetch}.
 *
 * @param name store key of the record
 * @param version version of the record itself, 0 if the peer has none
 * @param content encoded record, empty if the peer has none
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordAnswer(String name, long version, byte[] content) implements PeerMessage {}
