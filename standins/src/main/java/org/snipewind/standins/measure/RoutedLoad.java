package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.snipewind.clients.configuration.ColdStartSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.RouteSettings;
import org.snipewind.clients.status.TargetStatus;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.SampleConfiguration;
import org.snipewind.standins.deployment.TargetBehaviour;
import org.snipewind.standins.load.LoadGenerator;
import org.snipewind.standins.load.LoadOutcome;
import org.snipewind.standins.load.LoadRequest;

/** Keyed requests whose targets and supervisors are known in advance. */
final class RoutedLoad {

    private static final int KEYS = 60;
    private static final int SLOTS = 64;
    private static final double RATE_FACTOR = 50;
    private static final double TARGET_RATIO = 0.4;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;

    private final Deployment deployment;
    private final LoadGenerator loadGenerator;
    private final String pathPrefix;
    private final String organisation;
    private final Map<String, String> targetByKey = new HashMap<>();

    RoutedLoad(Deployment deployment, LoadGenerator loadGenerator) {
        this.deployment = deployment;
        this.loadGenerator = loadGenerator;
        RouteSettings route = deployment.configuration().routes().values().stream()
                .filter(candidate -> candidate.key().isPresent())
                .findFirst()
                .orElseThrow();
        pathPrefix = route.path() + "/key-";
        organisation =
                deployment.configuration().organisations().keySet().iterator().next();
        Deployment.await("service of all keys", java.time.Duration.ofSeconds(30), this::findTargets);
    }

    /**
     * Returns a plan whose targets respond at once and accept requests without a grant, so that only the router is
     * measured.
     */
    static DeploymentPlan planOf(String name, int daemons) {
        FleetConfiguration sample = SampleConfiguration.withTargetRatio(SampleConfiguration.read(name), TARGET_RATIO);
        FleetConfiguration withoutGrants = SampleConfiguration.withPools(
                sample,
                pool -> new PoolSettings(
                        pool.divided(),
                        false,
                        SLOTS,
                        pool.longestDeadlineMillis(),
                        new ColdStartSettings(SLOTS, 1),
                        pool.targets()));
        return DeploymentPlan.of(SampleConfiguration.withScaledRates(withoutGrants, RATE_FACTOR))
                .withDaemonCount(daemons)
                .withBehaviour(TargetBehaviour.withoutColdStart(0))
                .withOptimisingCompiler();
    }

    /** Creates requests to daemons that do not supervise the key's target, if there is more than one daemon. */
    List<LoadRequest> routedRequests(int rate, int seconds, Random random) {
        Map<String, String> supervisorByTarget = supervisorByTarget();
        List<DaemonHandle> daemons = deployment.daemons();
        List<LoadRequest> requests = new ArrayList<>();
        for (int number = 0; number < rate * seconds; number++) {
            String key = "key-" + random.nextInt(KEYS);
            String supervisor = supervisorByTarget.getOrDefault(targetByKey.get(key), "");
            List<DaemonHandle> entryDaemons = daemons.size() == 1
                    ? daemons
                    : daemons.stream()
                            .filter(daemon -> !daemon.name().equals(supervisor))
                            .toList();
            String address = entryDaemons.get(number % entryDaemons.size()).callerAddress();
            requests.add(request(number, rate, address, key));
        }
        return requests;
    }

    /** Creates requests of the same kind that are sent directly to their targets. */
    List<LoadRequest> directRequests(int rate, int seconds, Random random) {
        List<LoadRequest> requests = new ArrayList<>();
        for (int number = 0; number < rate * seconds; number++) {
            String key = "key-" + random.nextInt(KEYS);
            requests.add(request(
                    number, rate, deployment.target(targetByKey.get(key)).address(), key));
        }
        return requests;
    }

    Histogram measureLatency(List<LoadRequest> requests) {
        Histogram histogram = new Histogram(MAX_LATENCY_NANOS, 3);
        long failedCount = 0;
        Map<String, Integer> countsByReason = new TreeMap<>();
        for (LoadOutcome outcome : loadGenerator.run(requests)) {
            if (outcome.isAnswered()) {
                histogram.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, outcome.latencyNanos())));
            } else {
                failedCount++;
                countsByReason.merge(outcome.status() + " " + outcome.error(), 1, Integer::sum);
            }
        }
        // Up to 1% of failed requests hardly changes a quantile; with more, the latencies no longer describe the load.
        if (failedCount * 100 > requests.size()) {
            throw new IllegalStateException(
                    failedCount + " of " + requests.size() + " requests were not answered: " + countsByReason);
        }
        return histogram;
    }

    private LoadRequest request(int number, int rate, String address, String key) {
        return new LoadRequest(
                number * 1_000_000_000L / rate,
                address,
                "POST",
                pathPrefix + key.substring("key-".length()) + "?n=" + number,
                organisation);
    }

    private boolean findTargets() {
        for (int number = 0; number < KEYS; number++) {
            String address = deployment
                    .daemons()
                    .get(number % deployment.daemons().size())
                    .callerAddress();
            BufferedResponse response = loadGenerator
                    .exchange(new LoadRequest(0, address, "GET", pathPrefix + number, organisation))
                    .handle((received, failure) -> received)
                    .join();
            if (response != null && response.status() == 200) {
                targetByKey.put(
                        "key-" + number,
                        String.valueOf(
                                JsonCodec.decode(response.body(), Map.class).get("target")));
            }
        }
        return targetByKey.size() == KEYS;
    }

    private Map<String, String> supervisorByTarget() {
        Map<String, String> supervisorByTarget = new HashMap<>();
        for (DaemonHandle daemon : deployment.daemons()) {
            deployment
                    .status(daemon)
                    .ifPresent(status -> status.targets().stream()
                            .map(TargetStatus::name)
                            .forEach(target -> supervisorByTarget.put(target, daemon.name())));
        }
        return supervisorByTarget;
    }
}
