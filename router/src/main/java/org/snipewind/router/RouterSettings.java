package org.snipewind.router;

import java.net.InetSocketAddress;
import org.snipewind.router.path.RouterLimits;

/**
 * Settings of one instance.
 *
 * @param name name of the instance
 * @param dataCentre its data centre
 * @param callers address for callers
 * @param readiness address at which it tells whether it is ready
 * @param metrics address of its metrics
 * @param peers address for other instances
 * @param workers number of threads that serve callers
 * @param processorCores processor time of this instance, in cores
 * @param linkMegabits bandwidth of its network link, in Mbit/s
 * @param graceMillis time from the signal to end until the process is killed
 * @param limits limits over all instances
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
        RouterLimits limits) {}
