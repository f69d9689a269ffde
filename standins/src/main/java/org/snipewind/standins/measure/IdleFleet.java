package org.snipewind.standins.measure;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;

/**
 * What a fleet without callers uses for control.
 *
 * @param daemons number of daemons
 * @param cpuPercent per cent of a core of each daemon
 * @param liveMegabytes live objects of each daemon, with its share of the process's own
 * @param kilobytes bytes of control frames sent and received by each daemon, in kilobytes per second
 * @param storeCalls store calls per second of the whole fleet by kind
 */
record IdleFleet(
        int daemons, double cpuPercent, double liveMegabytes, double kilobytes, Map<String, Double> storeCalls) {

    private static final Duration START_LIMIT = Duration.ofSeconds(90);
    // Roles are handed over and compilers run in the first seconds after the start.
    private static final long SETTLE_MILLIS = 8_000;
    private static final double TARGET_FACTOR = 0.4;

    static IdleFleet measure(String deploymentName, int daemons, int perProcess, int seconds) {
        DeploymentPlan plan = DeploymentPlan.of(deploymentName, TARGET_FACTOR).withDaemonCount(daemons);
        if (perProcess > 1) {
            plan = plan.withDaemonsPerProcess(perProcess, 64 * perProcess + 128);
        }
        try (Deployment deployment = Deployment.startWithoutDaemons(plan)) {
            deployment.apply(deployment.configuration(), "first revision");
            deployment.startDaemons();
            deployment.awaitReady(START_LIMIT);
            sleep(SETTLE_MILLIS);
            List<DaemonHandle> all = deployment.daemons();
            Map<String, Long> callsBefore = deployment.store().report().calls();
            double bytesBefore = controlBytes(deployment);
            double cpuBefore = ProcessUse.cpuSeconds(all);
            long start = System.nanoTime();
            sleep(seconds * 1_000L);
            double cpu = ProcessUse.cpuSeconds(all) - cpuBefore;
            double elapsed = (System.nanoTime() - start) / 1e9;
            double bytes = controlBytes(deployment) - bytesBefore;
            Map<String, Double> calls = new TreeMap<>();
            deployment
                    .store()
                    .report()
                    .calls()
                    .forEach((kind, count) -> calls.put(kind, (count - callsBefore.getOrDefault(kind, 0L)) / elapsed));
            return new IdleFleet(
                    daemons,
                    100 * cpu / elapsed / daemons,
                    ProcessUse.liveMegabytes(all) / daemons,
                    bytes / elapsed / daemons / 1_000,
                    calls);
        }
    }

    double storeCallsInAll() {
        return storeCalls.values().stream().mapToDouble(Double::doubleValue).sum();
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
