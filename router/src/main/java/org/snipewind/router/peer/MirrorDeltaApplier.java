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

/** Applies the messages of a {@link StoreChangeBroadcaster} to the copy of the store; belongs to the control loop. */
final class MirrorDeltaApplier {

    private final StoreCache mirror;

    MirrorDeltaApplier(StoreCache mirror) {
        this.mirror = mirror;
    }

    /** Takes changes into the copy; a patch of a table that is not the one at hand counts as a gap. */
    void follow(MirrorDelta delta) {
        // A new leader tells of itself; requests wait for it, and changes before its item may still be missing.
        delta.written().stream()
                .filter(item -> item.key().equals(StoreKeys.LEADER))
                .forEach(item -> mirror.applyWrite(MirrorItemConverter.toStore(item)));
        List<StoreChanges.Change> changes = new ArrayList<>();
        delta.written().forEach(item -> changes.add(new StoreChanges.Change(MirrorItemConverter.toStore(item), false)));
        delta.removed().forEach(item -> changes.add(new StoreChanges.Change(MirrorItemConverter.toStore(item), true)));
        Map<String, StoreItem> newest = new HashMap<>();
        changes.forEach(change -> newest.put(change.item().key(), change.item()));
        for (MirrorDelta.Patch patch : delta.patches()) {
            Optional<StoreItem> base =
                    Optional.ofNullable(newest.get(patch.key())).or(() -> mirror.item(patch.key()));
            if (base.isPresent() && base.get().revision() >= patch.revision()) {
                continue;
            }
            Optional<StoreItem> patched = base.flatMap(item -> apply(patch, item));
            if (patched.isEmpty()) {
                mirror.onPeerChangesMissed();
                return;
            }
            newest.put(patch.key(), patched.get());
            changes.add(new StoreChanges.Change(patched.get(), false));
        }
        mirror.applyPeerChanges(delta.fromRevision(), delta.toRevision(), delta.storeAgeMillis(), changes);
    }

    private static Optional<StoreItem> apply(MirrorDelta.Patch patch, StoreItem base) {
        return Optional.of(base)
                .filter(item -> item.revision() == patch.baseRevision())
                .flatMap(item -> KeyTablePatch.apply(item.value(), patch.content()))
                .map(value -> new StoreItem(patch.key(), value, patch.revision(), 0));
    }
}
