package org.snipewind.clients.store;

/**
 * A value of the store.
 *
 * @param version version that the store assigned; it increases with each write of the key
 * @param content the value, at most 1 MB
 */
@SuppressWarnings("ArrayRecordComponent")
public record VersionedValue(long version, byte[] content) {}
