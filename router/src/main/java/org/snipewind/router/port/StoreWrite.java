package org.snipewind.router.port;

/**
 * A conditional write of one item.
 *
 * @param key key of the item
 * @param expectedRevision revision that the item must have, 0 if it must not exist
 * @param value new bytes
 * @param lease lease with whose end the item is removed, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreWrite(String key, long expectedRevision, byte[] value, long lease) {}
