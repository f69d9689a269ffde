package org.snipewind.router;

import java.net.InetSocketAddress;
import org.snipewind.router.path.RouterLimits;

/**
 * Settings of one instance.
 *
 * @param name name of the instance
 * @param dataCentre data centre of the instance
 * @param callers listen address for callers
 * @param readiness listen address of the readiness check
 * @param metrics listen address of the metrics page
 * @param peers listen address for other instances
 * @param workers number of threads that serve callers
 * @param processorCores processor time available to the instance, in cores
 * @param linkMegabits bandwidth of the instance's network link, in Mbit/s
 * @param graceMillis time from the termination signal until the process is killed
 * @param memoryBytes memory that the process may take
 * @param limits limits that apply to all instances together
 */
public record RouterSettings(
        String name,
        String dataCentre,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        int workers,
        double processorCores,
        double linkMegabits,
        long graceMillis,
        long memoryBytes,
        RouterLimits limits) {}
