package org.snipewind.router.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;

/**
 * The registered targets, and the states of those that were. A write may reach the store late, so the newest
 * registration of a process counts even if its entry was removed or unreadable in the meantime. An entry that was
 * removed and comes back because the store was restored from an older copy doesn't register its target. Confined to the
 * control event loop.
 */
final class TargetRegistry {

    /** Former targets that are remembered; the oldest are forgotten first. */
    private static final int MAX_FORMER_TARGETS = 1_024;

    private final Map<String, TargetState> registered = new HashMap<>();
    private final Map<String, Former> former = new LinkedHashMap<>();

    /** A target that was registered, and the era of the store in which it was removed. */
    private record Former(TargetState state, long removedInEra) {}

    /** Returns an immutable copy of the registered targets by id. */
    Map<String, TargetState> registered() {
        return Map.copyOf(registered);
    }

    /**
     * Registers a target, or updates its registration.
     *
     * @param registration what the target has written about itself
     * @param era era of the store that contains the registration
     * @param nowMillis the time
     * @return false if a newer registration is known, or this one was removed before the store was restored
     */
    boolean register(TargetRegistration registration, long era, long nowMillis) {
        Former removed = former.get(registration.id());
        if (removed != null
                && removed.removedInEra() < era
                && !registration.isNewerThan(removed.state().registration())) {
            return false;
        }
        Optional<TargetState> known = findKnown(registration);
        if (known.isPresent() && known.get().registration().isNewerThan(registration)) {
            return false;
        }
        Optional<TargetState> sameProcess =
                known.filter(state -> state.incarnation().equals(registration.incarnation()));
        sameProcess.ifPresent(state -> state.update(registration, nowMillis));
        former.remove(registration.id());
        registered.put(registration.id(), sameProcess.orElseGet(() -> new TargetState(registration, nowMillis)));
        return true;
    }

    /** Finds the registered target with the same id, or the former one if it is of the same process. */
    private Optional<TargetState> findKnown(TargetRegistration registration) {
        return Optional.ofNullable(registered.get(registration.id()))
                .or(() -> Optional.ofNullable(former.get(registration.id()))
                        .map(Former::state)
                        .filter(state -> state.incarnation().equals(registration.incarnation())));
    }

    /**
     * Removes a target whose entry is gone or unreadable.
     *
     * @param id id of the target
     * @param era era of the store in which the entry is gone
     * @return whether it was registered
     */
    boolean remove(String id, long era) {
        TargetState removed = registered.remove(id);
        // Sequence numbers begin anew with each process, so they are compared only if its start is known.
        if (removed != null && removed.registration().hasStartTime()) {
            former.remove(id);
            former.put(id, new Former(removed, era));
            if (former.size() > MAX_FORMER_TARGETS) {
                former.remove(former.keySet().iterator().next());
            }
        }
        return removed != null;
    }
}
