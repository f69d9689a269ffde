package org.snipewind.router.port;

/**
 * A conditional write of one item.
 *
 * @param key key of the item
 * @param expectedRevision current revision that the item must have, 0 if it must not exist
 * @param value new bytes
 * @param lease number of the lease whose end removes the item, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreWrite(String key, long expectedRevision, byte[] value, long lease) {}
