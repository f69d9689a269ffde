package org.snipewind.standins.quickstart;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.snipewind.clients.configuration.ConfigurationFolder;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.command.Command;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.SampleConfiguration;
import org.snipewind.standins.load.LoadGenerator;
import org.snipewind.standins.load.LoadOutcome;
import org.snipewind.standins.load.LoadRequest;
import org.snipewind.standins.load.RecordChecks;

/** Runs a small deployment, pauses a target with requests in flight and checks the guarantees to callers. */
public final class QuickStart {

    private static final String PAUSED_TARGET = "reelteca-1";
    private static final List<String> ORGANISATIONS =
            List.of("estudio-norte", "radio-litoral", "doblajes-pampa", "voz-y-cine");
    private static final int KEY_COUNT = 40;
    private static final int REQUESTS_PER_SECOND = 100;
    private static final int DURATION_SECONDS = 16;
    private static final long PAUSE_AT_MILLIS = 4_000;
    private static final long RESUME_AT_MILLIS = 10_000;
    private static final long MAX_RECOVERY_MILLIS = 2_000;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

    private final Deployment deployment;
    private final LoadGenerator load;

    private QuickStart(Deployment deployment, LoadGenerator load) {
        this.deployment = deployment;
        this.load = load;
    }

    /**
     * Runs the quick start.
     *
     * @param arguments {@code --keep} to leave the deployment running
     * @throws Exception if a part of the deployment can't be started
     */
    public static void main(String[] arguments) throws Exception {
        boolean keep = List.of(arguments).contains("--keep");
        if (arguments.length > (keep ? 1 : 0)) {
            System.err.println("usage: quickstart [--keep]");
            System.exit(2);
        }
        boolean allHeld = true;
        try (Deployment deployment = Deployment.startWithoutDaemons(DeploymentPlan.quickStart());
                LoadGenerator load = new LoadGenerator()) {
            QuickStart quickStart = new QuickStart(deployment, load);
            quickStart.start();
            if (keep) {
                quickStart.keepRunning();
            } else {
                allHeld = quickStart.run();
            }
        }
        System.exit(allHeld ? 0 : 1);
    }

    private void start() throws IOException, InterruptedException {
        System.out.println("starting " + deployment.daemons().size() + " daemons; store at " + deployment.storeAddress()
                + ", " + deployment.targets().size() + " targets");
        deployment.startDaemons();
        Path folder = deployment.folder().resolve("configuration");
        ConfigurationFolder.write(deployment.configuration(), folder);
        int exit = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Command.class.getName(),
                        "apply",
                        folder.toString(),
                        "--store",
                        deployment.storeAddress(),
                        "--author",
                        "quickstart",
                        "--wait",
                        "30")
                .inheritIO()
                .start()
                .waitFor();
        if (exit != 0) {
            throw new IllegalStateException("snipewind apply exited with code " + exit);
        }
        deployment.awaitReady(START_TIMEOUT);
        Deployment.await(
                "service of all keys", START_TIMEOUT, () -> ownersByKey().size() == KEY_COUNT);
    }

    private boolean run() {
        Set<String> affectedKeys = new HashSet<>();
        ownersByKey().forEach((key, target) -> {
            if (target.equals(PAUSED_TARGET)) {
                affectedKeys.add(key);
            }
        });
        System.out.println("sending " + REQUESTS_PER_SECOND + " requests/s of " + ORGANISATIONS.size()
                + " organisations to all daemons; " + PAUSED_TARGET + " owns " + affectedKeys.size() + " of "
                + KEY_COUNT
                + " keys and is frozen after " + PAUSE_AT_MILLIS + " ms until " + RESUME_AT_MILLIS + " ms");
        long startNanos = System.nanoTime();
        CompletableFuture<Long> pausedAtNanos = CompletableFuture.supplyAsync(() -> {
            sleepUntil(startNanos, PAUSE_AT_MILLIS);
            deployment.target(PAUSED_TARGET).pause();
            long elapsedNanos = System.nanoTime() - startNanos;
            sleepUntil(startNanos, RESUME_AT_MILLIS);
            deployment.target(PAUSED_TARGET).resume();
            return elapsedNanos;
        });
        List<LoadOutcome> outcomes = load.run(requests());
        return report(outcomes, affectedKeys, pausedAtNanos.join());
    }

    private List<LoadRequest> requests() {
        List<LoadRequest> requests = new ArrayList<>();
        List<DaemonHandle> daemons = deployment.daemons();
        for (int number = 0; number < REQUESTS_PER_SECOND * DURATION_SECONDS; number++) {
            requests.add(new LoadRequest(
                    number * 1_000_000_000L / REQUESTS_PER_SECOND,
                    daemons.get(number % daemons.size()).callerAddress(),
                    number % 4 == 3 ? "POST" : "GET",
                    "/reels/" + key(number % KEY_COUNT) + "?n=" + number,
                    ORGANISATIONS.get(number % 10 < 4 ? 0 : number % 10 < 7 ? 1 : number % 10 < 9 ? 2 : 3)));
        }
        return requests;
    }

    private boolean report(List<LoadOutcome> outcomes, Set<String> affectedKeys, long pausedAtNanos) {
        Map<String, Integer> executions = RecordChecks.executionsByUri(deployment.targets());
        Map<String, Integer> refusals = new TreeMap<>();
        Map<String, Long> firstServedNanos = new HashMap<>();
        for (LoadOutcome outcome : outcomes) {
            if (!outcome.isAnswered()) {
                refusals.merge(outcome.error() + " (" + outcome.execution() + ")", 1, Integer::sum);
            } else if (outcome.request().atNanos() > pausedAtNanos) {
                String path = outcome.request().uri().split("[/?]")[2];
                firstServedNanos.merge(path, outcome.endNanos(), Math::min);
            }
        }
        long lastServedNanos = affectedKeys.stream()
                .mapToLong(key -> firstServedNanos.getOrDefault(key, Long.MAX_VALUE))
                .max()
                .orElse(Long.MAX_VALUE);
        long recoveryMillis = lastServedNanos == Long.MAX_VALUE ? -1 : (lastServedNanos - pausedAtNanos) / 1_000_000;
        long overlaps = RecordChecks.overlaps(deployment.targets());
        long runTwice = RecordChecks.runTwice(outcomes, executions);
        long falseNotRun = RecordChecks.falseNotRun(outcomes, executions);
        long answered = outcomes.stream().filter(LoadOutcome::isAnswered).count();
        long withoutExecution = outcomes.stream()
                .filter(LoadOutcome::isAnswered)
                .filter(outcome -> !executions.containsKey(outcome.request().uri()))
                .count();
        printRow("requests sent", outcomes.size(), "");
        printRow("answers", answered, "");
        refusals.forEach((kind, count) -> printRow("refused: " + kind, count, ""));
        boolean allHeld = printRow(
                "ms until the keys of the stopped target were served",
                recoveryMillis,
                verdict(recoveryMillis >= 0 && recoveryMillis <= MAX_RECOVERY_MILLIS));
        allHeld &= printRow("overlaps of ownership", overlaps, verdict(overlaps == 0));
        allHeld &= printRow("non-idempotent requests run twice", runTwice, verdict(runTwice == 0));
        allHeld &= printRow("false \"not run\"", falseNotRun, verdict(falseNotRun == 0));
        allHeld &= printRow("answers without an execution", withoutExecution, verdict(withoutExecution == 0));
        return allHeld;
    }

    private void keepRunning() throws InterruptedException {
        System.out.println("\nThe deployment runs until this process is interrupted (Ctrl-C).");
        deployment
                .daemons()
                .forEach(daemon -> System.out.println("  " + daemon.name() + " " + daemon.dataCentre() + "  callers "
                        + daemon.callerAddress() + "  operators " + daemon.operatorAddress()));
        DaemonHandle first = deployment.daemons().get(0);
        System.out.println("Try:\n  curl -H 'Snipewind-Key: " + SampleConfiguration.apiKeyOf(ORGANISATIONS.get(0))
                + "' http://" + first.callerAddress() + "/reels/narrator-1\n  curl http://"
                + first.operatorAddress() + "/-/metrics\n  bin/snipewind status --store "
                + deployment.storeAddress() + "\n  bin/snipewind assignments --store "
                + deployment.storeAddress() + "\n  bin/snipewind drain reelteca-2 --store "
                + deployment.storeAddress());
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close, "deployment end"));
        new CountDownLatch(1).await();
    }

    private Map<String, String> ownersByKey() {
        Map<String, String> owners = new HashMap<>();
        for (int number = 0; number < KEY_COUNT; number++) {
            String address = deployment
                    .daemons()
                    .get(number % deployment.daemons().size())
                    .callerAddress();
            LoadRequest request = new LoadRequest(
                    0, address, "GET", "/reels/" + key(number), ORGANISATIONS.get(number % ORGANISATIONS.size()));
            load.exchange(request)
                    .handle((response, failure) -> failure == null && response.status() == 200 ? response.body() : null)
                    .thenAccept(body -> {
                        if (body != null) {
                            owners.put(
                                    request.uri().substring("/reels/".length()),
                                    String.valueOf(
                                            JsonCodec.decode(body, Map.class).get("target")));
                        }
                    })
                    .join();
        }
        return owners;
    }

    private static String key(int number) {
        return "narrator-" + number;
    }

    private static boolean printRow(String name, long value, String verdict) {
        System.out.printf("  %-60s %8d  %s%n", name, value, verdict);
        return !verdict.equals("NOT HELD");
    }

    private static String verdict(boolean held) {
        return held ? "held" : "NOT HELD";
    }

    private static void sleepUntil(long startNanos, long millis) {
        try {
            Thread.sleep(Math.max(0, millis - (System.nanoTime() - startNanos) / 1_000_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
