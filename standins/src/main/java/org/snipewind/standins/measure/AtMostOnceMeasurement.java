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

/** Compares what callers were told about non-idempotent requests with the targets' own records, under faults. */
public final class AtMostOnceMeasurement {

    private static final long DURATION_MILLIS = 20_000;
    private static final long FAULT_MILLIS = 300;
    private static final long PAUSE_MILLIS = 1_500;
    private static final Duration END_LIMIT = Duration.ofSeconds(10);

    private AtMostOnceMeasurement() {}

    /**
     * Runs without faults and with random kills, pauses, cut connections and lost answers.
     *
     * @param seed seed of trace and faults
     * @return the figures; run twice, false "not run" and crossed or cut answers are to be 0
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 0.5);
        TraceShape shape = DeploymentTraces.vocesDelPlata()
                .withRoutes(List.of(
                        new RouteLoad("/contratos", 0.4, false, 1, 300, 8, 3_000),
                        new RouteLoad("/agenda", 0.3, false, 1, 300, 8, 3_000),
                        new RouteLoad("/reels", 0.3, false, 1, 300, 8, 2_000)))
                .lasting(DURATION_MILLIS);
        List<TrafficFigure> figures = new ArrayList<>();
        add(figures, "no faults", TrafficRun.play(plan, shape, seed, Disturbance.NONE));
        int[] faults = new int[1];
        add(figures, "faults", TrafficRun.play(plan, shape, seed, deployment -> disturb(deployment, seed, faults)));
        figures.add(new TrafficFigure("faults", "faults", faults[0]));
        return figures;
    }

    private static void add(List<TrafficFigure> figures, String variant, TrafficRun run) {
        Map<String, Long> runs =
                run.executions().stream().collect(Collectors.groupingBy(TrafficRun::idOf, Collectors.counting()));
        figures.add(new TrafficFigure(variant, "requests", run.results().size()));
        figures.add(new TrafficFigure(
                variant,
                "run twice [0]",
                runs.values().stream().filter(count -> count > 1).count()));
        figures.add(new TrafficFigure(
                variant,
                "false not run [0]",
                count(run, result -> result.kind() == OutcomeKind.NOT_RUN && runs.containsKey(result.id()))));
        figures.add(new TrafficFigure(
                variant,
                "answered without a record [0]",
                count(run, result -> isSuccess(result) && !runs.containsKey(result.id()))));
        figures.add(new TrafficFigure(
                variant,
                "crossed or cut answers [0]",
                count(run, result -> isSuccess(result) && !isOwnAnswer(result))));
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

    private static boolean isOwnAnswer(ReplayResult result) {
        try {
            Map<String, Object> echo = JsonCodec.decode(
                    result.response().orElseThrow().body(), Argument.mapOf(String.class, Object.class));
            return result.uri().equals(echo.get("uri"));
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    private static void disturb(Deployment deployment, long seed, int[] faults) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        List<DaemonHandle> daemons = deployment.daemons();
        List<TargetHandle> targets = deployment.targets();
        while (true) {
            DaemonHandle daemon = daemons.get(random.nextInt(daemons.size()));
            TargetHandle target = targets.get(random.nextInt(targets.size()));
            int choice = random.nextInt(6);
            faults[0]++;
            switch (choice) {
                case 0 -> restart(deployment, daemon);
                case 1 -> pause(daemon);
                case 2 -> target(target, new TargetFaults(true, 1, false, false, false, TargetFaults.Drop.NONE));
                case 3 -> target(target, new TargetFaults(false, 1, false, false, true, TargetFaults.Drop.NONE));
                case 4 -> target(target, new TargetFaults(false, 1, false, false, false, TargetFaults.Drop.BEFORE_RUN));
                default -> target(target, new TargetFaults(false, 1, false, false, false, TargetFaults.Drop.AFTER_RUN));
            }
        }
    }

    private static void restart(Deployment deployment, DaemonHandle daemon) {
        daemon.kill();
        daemon.process().awaitExit(END_LIMIT);
        deployment.startDaemon(daemon.name());
    }

    private static void pause(DaemonHandle daemon) throws InterruptedException {
        daemon.pause();
        try {
            Thread.sleep(PAUSE_MILLIS);
        } finally {
            daemon.resume();
        }
    }

    private static void target(TargetHandle target, TargetFaults faults) throws InterruptedException {
        target.setFaults(faults);
        try {
            Thread.sleep(FAULT_MILLIS);
        } finally {
            target.setFaults(TargetFaults.NONE);
        }
    }
}
