package org.snipewind.router.state;

import org.snipewind.router.port.StoreItem;

/** Gets the changes of the copy of the store, on the control loop. */
public interface StoreCacheListener {

    /**
     * Takes a changed item.
     *
     * @param item the item
     */
    void itemChanged(StoreItem item);

    /**
     * Takes a removed item.
     *
     * @param key key of the item
     */
    void itemRemoved(String key);

    /** Marks the end of changes that belong together. */
    void changesApplied();
}
