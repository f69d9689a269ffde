package org.snipewind.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * Settings of one daemon.
 *
 * @param name name of the instance
 * @param region region of the data centre
 * @param dataCentre data centre in which the daemon runs
 * @param callers where callers connect
 * @param operators where operators and the balancer connect
 * @param peers where other daemons connect
 * @param secret the fleet's shared secret
 * @param tls TLS between daemons, empty for none
 * @param storeAddresses addresses of the platform's key-value service
 * @param instanceListAddress address of the platform's list of instances
 * @param seedAddresses peer addresses that a new daemon asks when the store does not answer
 * @param limits limits on memory
 * @param policy variants of mechanisms, for measurements against a baseline
 * @param shutdownGraceMillis longest time for work to end at shutdown
 * @param textLog whether the log is text instead of JSON lines
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

    /** Grace at shutdown if the settings name none. */
    public static final long DEFAULT_SHUTDOWN_GRACE_MILLIS = 10_000;

    /** Copies the lists. */
    public DaemonSettings {
        storeAddresses = List.copyOf(storeAddresses);
        seedAddresses = List.copyOf(seedAddresses);
    }

    /** Hides the shared secret. */
    @Override
    public String toString() {
        return "DaemonSettings[name=" + name + ", dataCentre=" + dataCentre + "]";
    }
}
