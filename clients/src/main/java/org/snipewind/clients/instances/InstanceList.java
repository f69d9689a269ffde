package org.snipewind.clients.instances;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags behind their actual state. */
public interface InstanceList {

    /**
     * Reads the list.
     *
     * @return state of each instance by its name; fails if the platform does not respond
     */
    CompletableFuture<Map<String, InstanceState>> read();
}
