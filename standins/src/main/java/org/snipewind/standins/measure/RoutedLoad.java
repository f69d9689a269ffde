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
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.SampleConfiguration;
import org.snipewind.standins.deployment.TargetBehaviour;
import org.snipewind.standins.load.LoadGenerator;
import org.snipewind.standins.load.LoadOutcome;
import org.snipewind.standins.load.LoadRequest;

/** Keyed requests whose targets and supervisors are known. */
final class RoutedLoad {

    private static final int KEYS = 60;
    private static final int SLOTS = 64;
    private static final double RATE_FACTOR = 50;
    private static final double TARGET_FACTOR = 0.4;
    private static final long HIGHEST_NANOS = 60_000_000_000L;

    private final Deployment deployment;
    private final LoadGenerator load;
    private final String prefix;
    private final String organisation;
    private final Map<String, String> targets = new HashMap<>();

    RoutedLoad(Deployment deployment, LoadGenerator load) {
        this.deployment = deployment;
        this.load = load;
        RouteSettings route = deployment.configuration().routes().values().stream()
                .filter(candidate -> candidate.key().isPresent())
                .findFirst()
                .orElseThrow();
        prefix = route.path() + "/key-";
        organisation =
                deployment.configuration().organisations().keySet().iterator().next();
        Deployment.await("service of all keys", java.time.Duration.ofSeconds(30), this::learnTargets);
    }

    /** A deployment whose targets answer at once and can be called without a grant, so that only the router counts. */
    static DeploymentPlan plan(String name, int daemons) {
        FleetConfiguration sample = SampleConfiguration.withTargetRatio(SampleConfiguration.read(name), TARGET_FACTOR);
        FleetConfiguration open = SampleConfiguration.withPools(
                sample,
                pool -> new PoolSettings(
                        pool.divided(),
                        false,
                        SLOTS,
                        pool.longestDeadlineMillis(),
                        new ColdStartSettings(SLOTS, 1),
                        pool.targets()));
        return DeploymentPlan.of(SampleConfiguration.withScaledRates(open, RATE_FACTOR))
                .withDaemonCount(daemons)
                .withBehaviour(TargetBehaviour.withoutColdStart(0))
                .withOptimisingCompiler();
    }

    /** Requests that enter at a daemon that does not supervise their target, if there is more than one daemon. */
    List<LoadRequest> routed(int rate, int seconds, Random random) {
        Map<String, String> supervisors = supervisors();
        List<DaemonHandle> daemons = deployment.daemons();
        List<LoadRequest> requests = new ArrayList<>();
        for (int number = 0; number < rate * seconds; number++) {
            String key = "key-" + random.nextInt(KEYS);
            String supervisor = supervisors.getOrDefault(targets.get(key), "");
            List<DaemonHandle> others = daemons.size() == 1
                    ? daemons
                    : daemons.stream()
                            .filter(daemon -> !daemon.name().equals(supervisor))
                            .toList();
            String address = others.get(number % others.size()).callerAddress();
            requests.add(request(number, rate, address, key));
        }
        return requests;
    }

    /** The same requests sent to their targets. */
    List<LoadRequest> direct(int rate, int seconds, Random random) {
        List<LoadRequest> requests = new ArrayList<>();
        for (int number = 0; number < rate * seconds; number++) {
            String key = "key-" + random.nextInt(KEYS);
            requests.add(
                    request(number, rate, deployment.target(targets.get(key)).address(), key));
        }
        return requests;
    }

    Histogram run(List<LoadRequest> requests) {
        Histogram histogram = new Histogram(HIGHEST_NANOS, 3);
        long failed = 0;
        Map<String, Integer> reasons = new TreeMap<>();
        for (LoadOutcome outcome : load.run(requests)) {
            if (outcome.isAnswered()) {
                histogram.recordValue(Math.min(HIGHEST_NANOS, Math.max(0, outcome.latencyNanos())));
            } else {
                failed++;
                reasons.merge(outcome.status() + " " + outcome.error(), 1, Integer::sum);
            }
        }
        // A few lost requests do not move a quantile; more would make it a figure of something else.
        if (failed * 100 > requests.size()) {
            throw new IllegalStateException(
                    failed + " of " + requests.size() + " requests were not answered: " + reasons);
        }
        return histogram;
    }

    private LoadRequest request(int number, int rate, String address, String key) {
        return new LoadRequest(
                number * 1_000_000_000L / rate,
                address,
                "POST",
                prefix + key.substring("key-".length()) + "?n=" + number,
                organisation);
    }

    private boolean learnTargets() {
        for (int number = 0; number < KEYS; number++) {
            String address = deployment
                    .daemons()
                    .get(number % deployment.daemons().size())
                    .callerAddress();
            HttpAnswer answer = load.exchange(new LoadRequest(0, address, "GET", prefix + number, organisation))
                    .handle((whole, failure) -> whole)
                    .join();
            if (answer != null && answer.status() == 200) {
                targets.put(
                        "key-" + number,
                        String.valueOf(
                                JsonCodec.decode(answer.body(), Map.class).get("target")));
            }
        }
        return targets.size() == KEYS;
    }

    private Map<String, String> supervisors() {
        Map<String, String> supervisors = new HashMap<>();
        for (DaemonHandle daemon : deployment.daemons()) {
            deployment
                    .status(daemon)
                    .ifPresent(status -> status.targets().stream()
                            .map(TargetStatus::name)
                            .forEach(target -> supervisors.put(target, daemon.name())));
        }
        return supervisors;
    }
}
