package org.snipewind.router.port;

import java.util.List;

/**
 * Changes since a revision.
 *
 * @param changes changes in their order
 * @param revision revision from which to go on
 */
public record StoreChanges(List<Change> changes, long revision) {

    /**
     * A change of one item.
     *
     * @param item the item as written; of a removed item only key and revision count
     * @param removed whether the item was removed
     */
    public record Change(StoreItem item, boolean removed) {}
}
