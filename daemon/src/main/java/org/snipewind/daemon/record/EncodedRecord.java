package org.snipewind.daemon.record;

/**
 * A record as kept in the store.
 *
 * @param version version of the record itself
 * @param content encoded record
 */
@SuppressWarnings("ArrayRecordComponent")
record EncodedRecord(long version, byte[] content) {}
