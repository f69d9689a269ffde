package org.snipewind.router.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;

/**
 * The items of the store cache by key. An item never goes back to an earlier revision, regardless of the order and the
 * source of changes. Confined to the control event loop.
 */
final class CachedItems {

    private final StoreCacheListener listener;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, Long> removalRevisions = new HashMap<>();
    private long revision;

    CachedItems(StoreCacheListener listener) {
        this.listener = listener;
    }

    Optional<StoreItem> item(String key) {
        return Optional.ofNullable(items.get(key));
    }

    List<StoreItem> snapshot() {
        return List.copyOf(items.values());
    }

    /** Returns the store revision up to which the items are complete. */
    long revision() {
        return revision;
    }

    /** Applies a single written item. Earlier changes may still be missing, so the revision stays. */
    void applyWrite(StoreItem item) {
        putIfNewer(item);
        listener.changesApplied();
    }

    /** Replaces the items by all items of the store as of a revision, except where a cached item is newer. */
    void replaceAll(List<StoreItem> snapshot, long newRevision) {
        Set<String> present = new HashSet<>();
        for (StoreItem item : snapshot) {
            present.add(item.key());
            putIfNewer(item);
        }
        for (String key : List.copyOf(items.keySet())) {
            if (!present.contains(key) && items.get(key).revision() <= newRevision) {
                removeUnlessNewer(key, newRevision);
            }
        }
        revision = Math.max(revision, newRevision);
        listener.changesApplied();
    }

    /** Applies the changes since the revision of these items. */
    void applyChanges(StoreChanges changes) {
        for (StoreChanges.Change change : changes.changes()) {
            if (change.removed()) {
                removeUnlessNewer(change.item().key(), change.item().revision());
            } else {
                putIfNewer(change.item());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (!changes.changes().isEmpty()) {
            listener.changesApplied();
        }
    }

    private void putIfNewer(StoreItem item) {
        StoreItem cached = items.get(item.key());
        boolean outdated = cached != null && cached.revision() >= item.revision();
        if (outdated || removalRevisions.getOrDefault(item.key(), 0L) >= item.revision()) {
            return;
        }
        items.put(item.key(), item);
        removalRevisions.remove(item.key());
        listener.itemChanged(item);
    }

    private void removeUnlessNewer(String key, long removalRevision) {
        StoreItem cached = items.get(key);
        if (cached != null && cached.revision() > removalRevision) {
            return;
        }
        // Keeps an earlier revision of the item, received late from another source, from restoring it.
        removalRevisions.merge(key, removalRevision, Math::max);
        if (items.remove(key) != null) {
            listener.itemRemoved(key);
        }
    }
}
