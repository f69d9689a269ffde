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
 * Items of the store by key. An item never goes back to an older revision, in whatever order and by whichever way
 * changes arrive. Belongs to the control loop.
 */
final class CachedItems {

    private final StoreCacheListener listener;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, Long> removals = new HashMap<>();
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

    /** Gives the revision up to which the copy is complete. */
    long revision() {
        return revision;
    }

    /** Takes a single item; changes before it may still be missing. */
    void write(StoreItem item) {
        apply(item);
        listener.changesApplied();
    }

    /** Takes all items of the store as of a revision. */
    void replaceAll(List<StoreItem> all, long newRevision) {
        Set<String> present = new HashSet<>();
        for (StoreItem item : all) {
            present.add(item.key());
            apply(item);
        }
        for (String key : List.copyOf(items.keySet())) {
            if (!present.contains(key) && items.get(key).revision() <= newRevision) {
                remove(key, newRevision);
            }
        }
        revision = Math.max(revision, newRevision);
        listener.changesApplied();
    }

    /** Takes the changes since the revision of the copy. */
    void applyAll(StoreChanges changes) {
        for (StoreChanges.Change change : changes.changes()) {
            if (change.removed()) {
                remove(change.item().key(), change.item().revision());
            } else {
                apply(change.item());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (!changes.changes().isEmpty()) {
            listener.changesApplied();
        }
    }

    private void apply(StoreItem item) {
        StoreItem known = items.get(item.key());
        boolean older = known != null && known.revision() >= item.revision();
        if (older || removals.getOrDefault(item.key(), 0L) >= item.revision()) {
            return;
        }
        items.put(item.key(), item);
        removals.remove(item.key());
        listener.itemChanged(item);
    }

    private void remove(String key, long removedAt) {
        StoreItem known = items.get(key);
        if (known != null && known.revision() > removedAt) {
            return;
        }
        // Remembered so that an older state that arrives by another way does not bring the item back.
        removals.merge(key, removedAt, Math::max);
        if (items.remove(key) != null) {
            listener.itemRemoved(key);
        }
    }
}
