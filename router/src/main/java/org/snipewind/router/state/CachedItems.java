package org.snipewind.router.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;

/**
 * The items of the store cache by key. An item never goes back to an earlier revision, regardless of the order and the
 * source of changes, unless the store has proved that its revision was wrong. If the store is restored from an older
 * copy, all its items are of a later era than the cached ones; what is then missing was lost, and what arrives late
 * from an earlier era changes nothing. Confined to the control event loop.
 */
final class CachedItems {

    /** Removals that are remembered; half of them are forgotten at once, so that this is rarely done. */
    private static final int MAX_REMOVALS = 4_096;

    private final StoreCacheListener listener;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, Long> removalRevisions = new HashMap<>();

    /** Removals after this revision are known; earlier ones are known only where they are listed. */
    private long removalsKnownFrom;

    private long newestForgottenRemoval;
    private long revision;
    private long newestRevision;

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

    /** Returns the newest revision that was ever applied; it may be that of a single item, or wrong. */
    long newestRevision() {
        return Math.max(newestRevision, revision);
    }

    /**
     * Returns the changes since a revision.
     *
     * @param knownRevision the revision
     * @return the changes, empty if removals since then may be unknown
     */
    Optional<StoreChanges> changesSince(long knownRevision) {
        if (knownRevision < removalsKnownFrom) {
            return Optional.empty();
        }
        List<StoreChanges.Change> changes = new ArrayList<>();
        items.values().stream()
                .filter(item -> item.revision() > knownRevision)
                .forEach(item -> changes.add(new StoreChanges.Change(item, false)));
        removalRevisions.forEach((key, removed) -> {
            if (removed > knownRevision) {
                changes.add(new StoreChanges.Change(new StoreItem(key, new byte[0], removed, 0), true));
            }
        });
        return Optional.of(new StoreChanges(changes, revision));
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
        boolean restored = StorePosition.isOfEarlierEra(revision, newRevision);
        for (String key : List.copyOf(items.keySet())) {
            if (!present.contains(key) && items.get(key).revision() <= newRevision) {
                removeUnlessNewer(key, newRevision, restored);
            }
        }
        if (newRevision > revision) {
            revision = newRevision;
            // An item that was both written and removed since the former revision is in neither of the two states.
            removalsKnownFrom = newRevision;
        }
        listener.changesApplied();
    }

    /**
     * Goes back to all items of the store as of a revision, which is below one that was applied. What is newer here is
     * not in the store, or is returned by a watch from that revision.
     */
    void goBackTo(List<StoreItem> snapshot, long storeRevision) {
        Map<String, StoreItem> former = new HashMap<>(items);
        items.clear();
        removalRevisions.clear();
        revision = storeRevision;
        newestRevision = storeRevision;
        removalsKnownFrom = storeRevision;
        newestForgottenRemoval = storeRevision;
        for (StoreItem item : snapshot) {
            items.put(item.key(), item);
            newestRevision = Math.max(newestRevision, item.revision());
            StoreItem previous = former.remove(item.key());
            if (previous == null || previous.revision() != item.revision()) {
                listener.itemChanged(item);
            }
        }
        former.keySet().forEach(listener::itemRemoved);
        listener.changesApplied();
    }

    /** Applies the changes since the revision of these items. */
    void applyChanges(StoreChanges changes) {
        for (StoreChanges.Change change : changes.changes()) {
            if (change.removed()) {
                removeUnlessNewer(change.item().key(), change.item().revision(), false);
            } else {
                putIfNewer(change.item());
            }
        }
        revision = Math.max(revision, changes.revision());
        forgetOldRemovals();
        if (!changes.changes().isEmpty()) {
            listener.changesApplied();
        }
    }

    private void putIfNewer(StoreItem item) {
        if (StorePosition.isOfEarlierEra(item.revision(), revision)) {
            return;
        }
        StoreItem cached = items.get(item.key());
        boolean outdated = cached != null && cached.revision() >= item.revision();
        // The cache is complete as of its revision, so an unknown item from before a forgotten removal was removed.
        boolean forgotten = cached == null && item.revision() <= newestForgottenRemoval;
        if (outdated || forgotten || removalRevisions.getOrDefault(item.key(), 0L) >= item.revision()) {
            return;
        }
        items.put(item.key(), item);
        newestRevision = Math.max(newestRevision, item.revision());
        removalRevisions.remove(item.key());
        listener.itemChanged(item);
    }

    /** Forgets the oldest removals, so that items that come and go do not take memory without end. */
    private void forgetOldRemovals() {
        if (removalRevisions.size() <= MAX_REMOVALS) {
            return;
        }
        long[] ascending = removalRevisions.values().stream()
                .mapToLong(Long::longValue)
                .sorted()
                .toArray();
        long forgotten = ascending[ascending.length - MAX_REMOVALS / 2];
        removalRevisions.values().removeIf(removed -> removed <= forgotten);
        newestForgottenRemoval = Math.max(newestForgottenRemoval, forgotten);
        removalsKnownFrom = Math.max(removalsKnownFrom, forgotten);
    }

    private void removeUnlessNewer(String key, long removalRevision, boolean lost) {
        StoreItem cached = items.get(key);
        if (cached != null && cached.revision() > removalRevision
                || StorePosition.isOfEarlierEra(removalRevision, revision)) {
            return;
        }
        // Keeps an earlier revision of the item, received late from another source, from restoring it.
        removalRevisions.merge(key, removalRevision, Math::max);
        newestRevision = Math.max(newestRevision, removalRevision);
        if (items.remove(key) == null) {
            return;
        }
        if (lost) {
            listener.itemLost(key, removalRevision);
        } else {
            listener.itemRemoved(key);
        }
    }
}
