package org.snipewind.daemon.fleet;

import java.util.Map;
import java.util.Optional;
import org.snipewind.clients.instances.InstanceList;
import org.snipewind.clients.instances.InstanceState;

/**
 * The most recently read copy of the platform's list of instances. The list lags behind the real state, so it may
 * bring a decision forward but is never its only basis.
 */
public final class InstanceListCache {

    private final Optional<InstanceList> list;
    private volatile Optional<Map<String, InstanceState>> states = Optional.empty();

    /**
     * Creates a cache without a copy of the list.
     *
     * @param list the platform's list, empty if the platform has none
     */
    public InstanceListCache(Optional<InstanceList> list) {
        this.list = list;
    }

    /** Starts a read of the list; a failed read keeps the previous copy. */
    public void refresh() {
        list.ifPresent(source -> source.read().whenComplete((read, failure) -> {
            if (failure == null) {
                states = Optional.of(Map.copyOf(read));
            }
        }));
    }

    /**
     * Returns whether the platform lists an instance as leaving.
     *
     * @param instance name of the instance
     * @return true if the list was read and says so
     */
    public boolean isLeaving(String instance) {
        return states.map(known -> known.get(instance) == InstanceState.LEAVING).orElse(false);
    }

    /**
     * Returns whether the list was read and does not contain an instance.
     *
     * @param instance name of the instance
     * @return true if the instance is absent; false while the list was never read
     */
    public boolean isAbsent(String instance) {
        return states.map(known -> !known.containsKey(instance)).orElse(false);
    }
}
