package org.snipewind.standins.measure;

import io.micronaut.core.type.Argument;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.command.replay.OutcomeKind;
import org.snipewind.command.replay.ReplayResult;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.TargetHandle;
import org.snipewind.standins.target.TargetFaults;
import org.snipewind.standins.trace.DeploymentTraces;
import org.snipewind.standins.trace.RouteLoad;
import org.snipewind.standins.trace.TraceShape;

/** Compares the outcomes reported to callers of non-idempotent requests with the targets' records, under faults. */
public final class AtMostOnceMeasurement {

    private static final long DURATION_MILLIS = 20_000;
    private static final long FAULT_DURATION_MILLIS = 300;
    private static final long PAUSE_DURATION_MILLIS = 1_500;
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(10);

    private AtMostOnceMeasurement() {}

    /**
     * Replays a trace without faults, and with random daemon restarts and pauses, silent targets, truncated responses
     * and dropped connections.
     *
     * @param seed seed of the trace and of the faults
     * @return the figures; the goal is 0 for requests that ran twice, for requests that ran although reported as not
     *     run, for responses without an execution record, and for truncated responses or those to another request
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 0.5);
        TraceShape shape = DeploymentTraces.vocesDelPlata()
                .withRoutes(List.of(
                        new RouteLoad("/contratos", 0.4, false, 1, 300, 8, 3_000),
                        new RouteLoad("/agenda", 0.3, false, 1, 300, 8, 3_000),
                        new RouteLoad("/reels", 0.3, false, 1, 300, 8, 2_000)))
                .withDurationMillis(DURATION_MILLIS);
        List<TrafficFigure> figures = new ArrayList<>();
        addFigures(figures, "no faults", TrafficRun.measure(plan, shape, seed, Disturbance.NONE));
        int[] faultCount = new int[1];
        addFigures(
                figures,
                "faults",
                TrafficRun.measure(plan, shape, seed, deployment -> injectFaults(deployment, seed, faultCount)));
        figures.add(new TrafficFigure("faults", "faults", faultCount[0]));
        return figures;
    }

    private static void addFigures(List<TrafficFigure> figures, String variant, TrafficRun run) {
        Map<String, Long> executionsById = run.executions().stream()
                .collect(Collectors.groupingBy(TrafficRun::requestIdOf, Collectors.counting()));
        figures.add(new TrafficFigure(variant, "requests", run.results().size()));
        figures.add(new TrafficFigure(
                variant,
                "run twice [0]",
                executionsById.values().stream().filter(count -> count > 1).count()));
        figures.add(new TrafficFigure(
                variant,
                "false not run [0]",
                count(run, result -> result.kind() == OutcomeKind.NOT_RUN && executionsById.containsKey(result.id()))));
        figures.add(new TrafficFigure(
                variant,
                "answered without a record [0]",
                count(run, result -> isSuccess(result) && !executionsById.containsKey(result.id()))));
        figures.add(new TrafficFigure(
                variant,
                "crossed or cut answers [0]",
                count(run, result -> isSuccess(result) && !isResponseToOwnRequest(result))));
        for (OutcomeKind kind : OutcomeKind.values()) {
            figures.add(new TrafficFigure(variant, "told " + kind, count(run, result -> result.kind() == kind)));
        }
    }

    private static long count(TrafficRun run, Predicate<ReplayResult> predicate) {
        return run.results().stream().filter(predicate).count();
    }

    private static boolean isSuccess(ReplayResult result) {
        return result.kind() == OutcomeKind.ANSWERED
                && result.response().orElseThrow().status() == 200;
    }

    private static boolean isResponseToOwnRequest(ReplayResult result) {
        try {
            Map<String, Object> echo = JsonCodec.decode(
                    result.response().orElseThrow().body(), Argument.mapOf(String.class, Object.class));
            return result.uri().equals(echo.get("uri"));
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    private static void injectFaults(Deployment deployment, long seed, int[] faultCount) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        List<DaemonHandle> daemons = deployment.daemons();
        List<TargetHandle> targets = deployment.targets();
        while (true) {
            DaemonHandle daemon = daemons.get(random.nextInt(daemons.size()));
            TargetHandle target = targets.get(random.nextInt(targets.size()));
            int choice = random.nextInt(6);
            faultCount[0]++;
            switch (choice) {
                case 0 -> restart(deployment, daemon);
                case 1 -> pause(daemon);
                case 2 ->
                    applyTargetFaults(target, new TargetFaults(true, 1, false, false, false, TargetFaults.Drop.NONE));
                case 3 ->
                    applyTargetFaults(target, new TargetFaults(false, 1, false, false, true, TargetFaults.Drop.NONE));
                case 4 ->
                    applyTargetFaults(
                            target, new TargetFaults(false, 1, false, false, false, TargetFaults.Drop.BEFORE_RUN));
                default ->
                    applyTargetFaults(
                            target, new TargetFaults(false, 1, false, false, false, TargetFaults.Drop.AFTER_RUN));
            }
        }
    }

    private static void restart(Deployment deployment, DaemonHandle daemon) {
        daemon.kill();
        daemon.process().awaitExit(EXIT_TIMEOUT);
        deployment.startDaemon(daemon.name());
    }

    private static void pause(DaemonHandle daemon) throws InterruptedException {
        daemon.pause();
        try {
            Thread.sleep(PAUSE_DURATION_MILLIS);
        } finally {
            daemon.resume();
        }
    }

    private static void applyTargetFaults(TargetHandle target, TargetFaults faults) throws InterruptedException {
        target.setFaults(faults);
        try {
            Thread.sleep(FAULT_DURATION_MILLIS);
        } finally {
            target.setFaults(TargetFaults.NONE);
        }
    }
}
