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

/** Load of targets that restart cold under traffic. */
public final class ColdStartMeasurement {

    private static final String POOL = "disponible-ya";
    private static final int BEARS = 1;
    private static final int COLD_ANSWERS = 20;
    private static final long FALL_MILLIS = 2_000;
    private static final long GAP_MILLIS = 2_500;
    private static final long DURATION_MILLIS = 14_000;
    private static final double LOAD = 1.6;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private ColdStartMeasurement() {}

    /**
     * Runs with the ramp and without it.
     *
     * @param seed seed of the trace
     * @return the figures; a cold target is never to hold more than it bears
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1)
                .withBehaviour(new TargetBehaviour(5, BEARS, COLD_ANSWERS, FALL_MILLIS, 0, 0));
        DeploymentPlan withoutRamp = TrafficRun.with(
                plan,
                policy -> new PolicySettings(
                        policy.hedging(),
                        policy.loadAwareChoice(),
                        false,
                        policy.fairQueueing(),
                        policy.sharedBudget()));
        TraceShape shape = DeploymentTraces.vocesDelPlata()
                .withRoutes(List.of(new RouteLoad("/disponible", 1, true, 0, 500, 20, 1_000)))
                .scaled(name -> LOAD)
                .lasting(DURATION_MILLIS);
        List<TrafficFigure> figures = new ArrayList<>();
        add(figures, "ramp", plan, shape, seed);
        add(figures, "no ramp", withoutRamp, shape, seed);
        return figures;
    }

    private static void add(
            List<TrafficFigure> figures, String variant, DeploymentPlan plan, TraceShape shape, long seed) {
        Map<String, Long> restarts = new LinkedHashMap<>();
        TrafficRun run = TrafficRun.play(plan, shape, seed, deployment -> restart(deployment, restarts));
        figures.add(new TrafficFigure(
                variant,
                "most concurrent work of a cold target [" + BEARS + "]",
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
                .map(entry -> secondsToFullUse(run.executions(), entry.getKey(), entry.getValue()))
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

    private static double secondsToFullUse(List<ExecutionRecord> executions, String target, long fromMicros) {
        List<ExecutionRecord> own = executions.stream()
                .filter(execution -> execution.target().equals(target) && execution.startMicros() >= fromMicros)
                .sorted(Comparator.comparingLong(ExecutionRecord::startMicros))
                .toList();
        for (int index = 1; index < own.size(); index++) {
            if (own.get(index - 1).endMicros() > own.get(index).startMicros()) {
                return (own.get(index).startMicros() - fromMicros) / MICROS_PER_SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static void restart(Deployment deployment, Map<String, Long> restarts) throws InterruptedException {
        List<TargetHandle> targets = deployment.targets().stream()
                .filter(target -> target.pool().equals(POOL))
                .toList();
        for (TargetHandle target : targets) {
            // Forgetting comes first: a target without a grant refuses work, so none arrives before the new incarnation
            // is seen.
            target.forgetGrants();
            target.startColdStart();
            restarts.put(target.name(), ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
            Thread.sleep(GAP_MILLIS);
        }
    }
}
