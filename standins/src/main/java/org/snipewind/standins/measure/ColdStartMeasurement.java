package org.snipewind.standins.measure;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.TargetBehaviour;
import org.snipewind.standins.deployment.TargetHandle;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.TargetStandInReport;
import org.snipewind.standins.trace.DeploymentTraces;
import org.snipewind.standins.trace.RouteLoad;
import org.snipewind.standins.trace.TraceShape;

/** Measures the load of targets that restart, and so are in cold start, under traffic. */
public final class ColdStartMeasurement {

    private static final String POOL = "disponible-ya";
    private static final int COLD_START_CONCURRENCY = 1;
    private static final int COLD_START_RESPONSES = 20;
    private static final long OUTAGE_MILLIS = 2_000;
    private static final long RESTART_INTERVAL_MILLIS = 2_500;
    private static final long DURATION_MILLIS = 14_000;
    private static final double LOAD_FACTOR = 1.6;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private ColdStartMeasurement() {}

    /**
     * Replays a trace with the cold-start ramp and without it.
     *
     * @param seed seed of the trace
     * @return the figures; the goal is that a target in cold start never exceeds its cold-start concurrency
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1)
                .withBehaviour(
                        new TargetBehaviour(5, COLD_START_CONCURRENCY, COLD_START_RESPONSES, OUTAGE_MILLIS, 0, 0));
        DeploymentPlan withoutRamp = TrafficRun.withPolicy(
                plan,
                policy -> new PolicySettings(
                        policy.hedging(),
                        policy.loadAwareChoice(),
                        false,
                        policy.fairQueueing(),
                        policy.sharedBudget()));
        TraceShape shape = DeploymentTraces.vocesDelPlata()
                .withRoutes(List.of(new RouteLoad("/disponible", 1, true, 0, 500, 20, 1_000)))
                .withScaledRates(name -> LOAD_FACTOR)
                .withDurationMillis(DURATION_MILLIS);
        List<TrafficFigure> figures = new ArrayList<>();
        addFigures(figures, "ramp", plan, shape, seed);
        addFigures(figures, "no ramp", withoutRamp, shape, seed);
        return figures;
    }

    private static void addFigures(
            List<TrafficFigure> figures, String variant, DeploymentPlan plan, TraceShape shape, long seed) {
        Map<String, Long> restarts = new LinkedHashMap<>();
        TrafficRun run = TrafficRun.measure(plan, shape, seed, deployment -> restartTargets(deployment, restarts));
        figures.add(new TrafficFigure(
                variant,
                "most concurrent work of a cold target [" + COLD_START_CONCURRENCY + "]",
                run.reports().stream()
                        .mapToInt(TargetStandInReport::highestColdInProgress)
                        .max()
                        .orElse(0)));
        figures.add(new TrafficFigure(
                variant,
                "falls [0]",
                run.reports().stream().mapToInt(TargetStandInReport::falls).sum()));
        figures.add(new TrafficFigure(variant, "restarts", restarts.size()));
        List<Double> times = restarts.entrySet().stream()
                .map(entry -> secondsToConcurrentExecutions(run.executions(), entry.getKey(), entry.getValue()))
                .sorted()
                .toList();
        figures.add(new TrafficFigure(
                variant, "median time to full use (s, infinite if never)", times.get(times.size() / 2)));
        figures.add(new TrafficFigure(variant, "requests", run.results().size()));
        figures.add(new TrafficFigure(
                variant,
                "not answered in time",
                run.results().stream()
                        .filter(result -> !result.isAnsweredInTime())
                        .count()));
    }

    /**
     * Returns the time from a restart until two executions of the target overlap, which the cold-start concurrency of 1
     * rules out before the target is warm.
     */
    private static double secondsToConcurrentExecutions(
            List<ExecutionRecord> executions, String target, long fromMicros) {
        List<ExecutionRecord> targetExecutions = executions.stream()
                .filter(execution -> execution.target().equals(target) && execution.startMicros() >= fromMicros)
                .sorted(Comparator.comparingLong(ExecutionRecord::startMicros))
                .toList();
        for (int index = 1; index < targetExecutions.size(); index++) {
            if (targetExecutions.get(index - 1).endMicros()
                    > targetExecutions.get(index).startMicros()) {
                return (targetExecutions.get(index).startMicros() - fromMicros) / MICROS_PER_SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static void restartTargets(Deployment deployment, Map<String, Long> restarts) throws InterruptedException {
        List<TargetHandle> targets = deployment.targets().stream()
                .filter(target -> target.pool().equals(POOL))
                .toList();
        for (TargetHandle target : targets) {
            // The grants are removed first: a target without a grant refuses requests, so none runs before the router
            // has seen the new incarnation.
            target.forgetGrants();
            target.startColdStart();
            restarts.put(target.name(), ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
            Thread.sleep(RESTART_INTERVAL_MILLIS);
        }
    }
}
