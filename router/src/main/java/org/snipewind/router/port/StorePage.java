package org.snipewind.router.port;

import java.util.List;

/**
 * A page of store items.
 *
 * @param items items in the order of their keys
 * @param hasMore whether more items follow
 * @param revision revision of the store when the page was read
 * @param unreadableItems number of further items whose key or revision can't be read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long revision, int unreadableItems) {

    /**
     * Creates a page whose items could all be read.
     *
     * @param items items in the order of their keys
     * @param hasMore whether more items follow
     * @param revision revision of the store when the page was read
     */
    public StorePage(List<StoreItem> items, boolean hasMore, long revision) {
        this(items, hasMore, revision, 0);
    }
}
