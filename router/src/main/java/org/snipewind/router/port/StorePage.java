package org.snipewind.router.port;

import java.util.List;

/**
 * A page of store items.
 *
 * @param items items in the order of their keys
 * @param hasMore whether more items follow
 * @param revision revision of the store when the page was read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long revision) {}
