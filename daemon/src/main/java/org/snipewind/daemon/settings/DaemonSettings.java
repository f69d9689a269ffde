package org.snipewind.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings of a daemon.
 *
 * @param name name of the instance
 * @param region region of the data centre
 * @param dataCentre data centre in which the daemon runs
 * @param callers address for callers
 * @param operators address for operators and the load balancer
 * @param peers address for other daemons
 * @param secret shared secret of the fleet
 * @param tls files for TLS between daemons, empty for connections without TLS
 * @param storeAddresses addresses of the platform's key-value service
 * @param instanceListAddress address of the platform's list of instances, empty if there is none
 * @param seedAddresses addresses of peers that a new daemon contacts if the store is unreachable
 * @param limits limits on requests, connections and queues
 * @param policy switches that replace a mechanism by its baseline
 * @param shutdownGraceMillis maximum time to complete the work in flight at shutdown
 * @param textLog whether log lines are plain text instead of JSON
 */
public record DaemonSettings(
        String name,
        String region,
        String dataCentre,
        Endpoint callers,
        Endpoint operators,
        Endpoint peers,
        String secret,
        Optional<TlsSettings> tls,
        List<String> storeAddresses,
        Optional<String> instanceListAddress,
        List<String> seedAddresses,
        RequestLimits limits,
        PolicySettings policy,
        long shutdownGraceMillis,
        boolean textLog) {

    /** Grace period at shutdown if the settings specify none. */
    public static final long DEFAULT_SHUTDOWN_GRACE_MILLIS = 10_000;

    /** Makes immutable copies of the lists. */
    public DaemonSettings {
        storeAddresses = List.copyOf(storeAddresses);
        seedAddresses = List.copyOf(seedAddresses);
    }

    /** Returns a short form without the shared secret. */
    @Override
    public String toString() {
        return "DaemonSettings[name=" + name + ", dataCentre=" + dataCentre + "]";
    }
}
