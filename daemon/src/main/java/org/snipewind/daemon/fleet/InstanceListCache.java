package org.snipewind.daemon.fleet;

import java.util.Map;
import java.util.Optional;
import org.snipewind.clients.instances.InstanceList;
import org.snipewind.clients.instances.InstanceState;

/** The newest reading of the platform's list of instances, which lags; it may hasten a decision but never makes one. */
public final class InstanceListCache {

    private final Optional<InstanceList> list;
    private volatile Optional<Map<String, InstanceState>> states = Optional.empty();

    /**
     * Creates a view.
     *
     * @param list the platform's list, empty if the platform has none
     */
    public InstanceListCache(Optional<InstanceList> list) {
        this.list = list;
    }

    /** Reads the list. */
    public void refresh() {
        list.ifPresent(source -> source.read().whenComplete((read, failure) -> {
            if (failure == null) {
                states = Optional.of(Map.copyOf(read));
            }
        }));
    }

    /**
     * Tells whether the platform says that an instance is about to leave.
     *
     * @param instance name of the instance
     * @return true if the list says so
     */
    public boolean isLeaving(String instance) {
        return states.map(known -> known.get(instance) == InstanceState.LEAVING).orElse(false);
    }

    /**
     * Tells whether the list was read and lacks an instance.
     *
     * @param instance name of the instance
     * @return true if the instance is absent, false also while the list is not known
     */
    public boolean isAbsent(String instance) {
        return states.map(known -> !known.containsKey(instance)).orElse(false);
    }
}
