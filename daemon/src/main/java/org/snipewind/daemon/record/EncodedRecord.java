package org.snipewind.daemon.record;

/**
 * A record in its stored form.
 *
 * @param version version that the record itself carries, as opposed to its version in the store
 * @param content encoded record
 */
@SuppressWarnings("ArrayRecordComponent")
record EncodedRecord(long version, byte[] content) {}
