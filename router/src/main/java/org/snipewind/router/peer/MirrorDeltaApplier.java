package org.snipewind.router.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.KeyTablePatch;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/** Applies the deltas of a {@link StoreChangeBroadcaster} to the store cache. Confined to the control event loop. */
final class MirrorDeltaApplier {

    private final StoreCache cache;

    MirrorDeltaApplier(StoreCache cache) {
        this.cache = cache;
    }

    /** Applies a delta. A patch whose base is not the cached version of the item counts as missed changes. */
    void applyDelta(MirrorDelta delta) {
        // The item of a new leader is applied at once, even if earlier changes are missing, since requests wait for it.
        delta.written().stream()
                .filter(item -> item.key().equals(StoreKeys.LEADER))
                .forEach(item -> cache.applyWrite(MirrorItemConverter.toStoreItem(item)));
        List<StoreChanges.Change> changes = new ArrayList<>();
        delta.written()
                .forEach(item -> changes.add(new StoreChanges.Change(MirrorItemConverter.toStoreItem(item), false)));
        delta.removed()
                .forEach(item -> changes.add(new StoreChanges.Change(MirrorItemConverter.toStoreItem(item), true)));
        Map<String, StoreItem> newest = new HashMap<>();
        changes.forEach(change -> newest.put(change.item().key(), change.item()));
        for (MirrorDelta.Patch patch : delta.patches()) {
            Optional<StoreItem> base =
                    Optional.ofNullable(newest.get(patch.key())).or(() -> cache.item(patch.key()));
            if (base.isPresent() && base.get().revision() >= patch.revision()) {
                continue;
            }
            Optional<StoreItem> patched = base.flatMap(item -> applyPatch(patch, item));
            if (patched.isEmpty()) {
                cache.onPeerChangesMissed();
                return;
            }
            newest.put(patch.key(), patched.get());
            changes.add(new StoreChanges.Change(patched.get(), false));
        }
        cache.applyPeerChanges(delta.fromRevision(), delta.toRevision(), delta.storeAgeMillis(), changes);
    }

    private static Optional<StoreItem> applyPatch(MirrorDelta.Patch patch, StoreItem base) {
        return Optional.of(base)
                .filter(item -> item.revision() == patch.baseRevision())
                .flatMap(item -> KeyTablePatch.apply(item.value(), patch.content()))
                .map(value -> new StoreItem(patch.key(), value, patch.revision(), 0));
    }
}
