package org.snipewind.clients.store;

/**
 * A value of the store.
 *
 * @param version version given by the store; it grows with each write of the key
 * @param content the bytes, at most 1 MB
 */
@SuppressWarnings("ArrayRecordComponent")
public record VersionedValue(long version, byte[] content) {}
