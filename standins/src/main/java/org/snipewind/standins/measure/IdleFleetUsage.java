package org.snipewind.standins.measure;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;

/**
 * Resources that a fleet without callers uses for control.
 *
 * @param daemons number of daemons
 * @param cpuPercent CPU time of each daemon in per cent of a core
 * @param liveMegabytes size of the live objects of each daemon in megabytes, including its part of those that the
 *     daemons of a process share
 * @param kilobytesPerSecond control frames sent and received by each daemon in kilobytes per second
 * @param storeCallsPerSecond store calls per second of the whole fleet by kind
 */
record IdleFleetUsage(
        int daemons,
        double cpuPercent,
        double liveMegabytes,
        double kilobytesPerSecond,
        Map<String, Double> storeCallsPerSecond) {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(90);
    // In the first seconds after the start, roles are still handed over and the JIT compiler is busy.
    private static final long SETTLE_MILLIS = 8_000;
    private static final double TARGET_RATIO = 0.4;

    static IdleFleetUsage measure(String deploymentName, int daemons, int daemonsPerProcess, int seconds) {
        DeploymentPlan plan = DeploymentPlan.of(deploymentName, TARGET_RATIO).withDaemonCount(daemons);
        if (daemonsPerProcess > 1) {
            plan = plan.withDaemonsPerProcess(daemonsPerProcess, 64 * daemonsPerProcess + 128);
        }
        try (Deployment deployment = Deployment.startWithoutDaemons(plan)) {
            deployment.apply(deployment.configuration(), "first revision");
            deployment.startDaemons();
            deployment.awaitReady(START_TIMEOUT);
            sleep(SETTLE_MILLIS);
            List<DaemonHandle> daemonHandles = deployment.daemons();
            Map<String, Long> callsBefore = deployment.store().report().calls();
            double bytesBefore = controlBytes(deployment);
            double cpuBefore = ProcessUsage.cpuSeconds(daemonHandles);
            long startNanos = System.nanoTime();
            sleep(seconds * 1_000L);
            double cpuSeconds = ProcessUsage.cpuSeconds(daemonHandles) - cpuBefore;
            double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
            double bytes = controlBytes(deployment) - bytesBefore;
            Map<String, Double> callsPerSecond = new TreeMap<>();
            deployment
                    .store()
                    .report()
                    .calls()
                    .forEach((kind, count) ->
                            callsPerSecond.put(kind, (count - callsBefore.getOrDefault(kind, 0L)) / elapsedSeconds));
            return new IdleFleetUsage(
                    daemons,
                    100 * cpuSeconds / elapsedSeconds / daemons,
                    ProcessUsage.liveMegabytes(daemonHandles) / daemons,
                    bytes / elapsedSeconds / daemons / 1_000,
                    callsPerSecond);
        }
    }

    double totalStoreCallsPerSecond() {
        return storeCallsPerSecond.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }

    private static double controlBytes(Deployment deployment) {
        return deployment.daemons().stream()
                .map(deployment::metrics)
                .mapToDouble(metrics ->
                        number(metrics, "peer.bytes-sent-control") + number(metrics, "peer.bytes-received-control"))
                .sum();
    }

    private static double number(Map<String, Object> metrics, String name) {
        return metrics.get(name) instanceof Number value ? value.doubleValue() : 0;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
