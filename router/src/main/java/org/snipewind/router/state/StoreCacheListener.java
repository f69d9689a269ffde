package org.snipewind.router.state;

import org.snipewind.router.port.StoreItem;

/** Listener for changes of the store cache, called on the control event loop. */
public interface StoreCacheListener {

    /**
     * Called when an item was added or changed.
     *
     * @param item the new item
     */
    void itemChanged(StoreItem item);

    /**
     * Called when an item was removed.
     *
     * @param key key of the item
     */
    void itemRemoved(String key);

    /**
     * Called when an item is missing in a store that was restored from an older copy. Its last write was lost and may
     * come again.
     *
     * @param key key of the item
     * @param position position at which it is missing
     */
    default void itemLost(String key, long position) {
        itemRemoved(key);
    }

    /** Called after all changes that were received together have been reported. */
    void changesApplied();
}
