package org.snipewind.protocol;

/**
 * A new version of a record, sent without a request.
 *
 * @param name store key of the record
 * @param version version of the record itself
 * @param content encoded record
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordPush(String name, long version, byte[] content) implements PeerMessage {}
