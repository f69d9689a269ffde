package org.snipewind.router.port;

/**
 * An item of the platform's store.
 *
 * @param key key of the item
 * @param value bytes of the item
 * @param revision revision of its last change
 * @param lease number of the lease whose end removes the item, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long lease) {}
