package org.snipewind.clients.instances;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags behind the truth. */
public interface InstanceList {

    /**
     * Reads the list.
     *
     * @return state by instance name; fails if the platform does not answer
     */
    CompletableFuture<Map<String, InstanceState>> read();
}
