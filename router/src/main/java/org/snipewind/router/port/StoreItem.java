package org.snipewind.router.port;

/**
 * An item of the platform's store.
 *
 * @param key key of the item
 * @param value its bytes
 * @param revision revision of its last change
 * @param lease lease with whose end the item is removed, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long lease) {}
