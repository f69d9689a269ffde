package org.snipewind.router.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;

/**
 * The registered targets, and the states of those that were. A write may reach the store late, so the newest
 * registration of a process counts even if its entry was removed or unreadable in the meantime. Confined to the control
 * event loop.
 */
final class TargetRegistry {

    /** Former targets that are remembered; the oldest are forgotten first. */
    private static final int MAX_FORMER_TARGETS = 1_024;

    private final Map<String, TargetState> registered = new HashMap<>();
    private final Map<String, TargetState> former = new LinkedHashMap<>();

    /** Returns an immutable copy of the registered targets by id. */
    Map<String, TargetState> registered() {
        return Map.copyOf(registered);
    }

    /**
     * Registers a target, or updates its registration.
     *
     * @param registration what the target has written about itself
     * @param nowMillis the time
     * @return false if a newer registration is known
     */
    boolean register(TargetRegistration registration, long nowMillis) {
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
                        .filter(state -> state.incarnation().equals(registration.incarnation())));
    }

    /**
     * Removes a target whose entry is gone or unreadable.
     *
     * @param id id of the target
     * @return whether it was registered
     */
    boolean remove(String id) {
        TargetState removed = registered.remove(id);
        // Sequence numbers begin anew with each process, so they are compared only if its start is known.
        if (removed != null && removed.registration().hasStartTime()) {
            former.remove(id);
            former.put(id, removed);
            if (former.size() > MAX_FORMER_TARGETS) {
                former.remove(former.keySet().iterator().next());
            }
        }
        return removed != null;
    }
}
