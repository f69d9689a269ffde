package org.snipewind.router.port;

import java.util.List;

/**
 * The changes since a revision.
 *
 * @param changes changes in the order in which they were made
 * @param revision revision after which to continue watching
 * @param unreadableChanges number of further changes whose key or revision can't be read
 */
public record StoreChanges(List<Change> changes, long revision, int unreadableChanges) {

    /**
     * Creates changes that could all be read.
     *
     * @param changes changes in the order in which they were made
     * @param revision revision after which to continue watching
     */
    public StoreChanges(List<Change> changes, long revision) {
        this(changes, revision, 0);
    }

    /**
     * A change of one item.
     *
     * @param item the item as written; if it was removed, only its key and revision are meaningful
     * @param removed whether the item was removed
     */
    public record Change(StoreItem item, boolean removed) {}
}
