package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.snipewind.command.replay.ReplaySummary;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.TargetHandle;
import org.snipewind.standins.target.TargetFaults;
import org.snipewind.standins.trace.DeploymentTraces;
import org.snipewind.standins.trace.TraceShape;

/** Measures the tail latency while one of the six targets of the urgent pool is at times ten times slower. */
public final class StragglersMeasurement {

    private static final String POOL = "disponible-ya";
    private static final double SLOW_FACTOR = 10;
    private static final long SLOW_DURATION_MILLIS = 400;
    private static final long SLOW_INTERVAL_MILLIS = 300;
    private static final long DURATION_MILLIS = 12_000;

    private StragglersMeasurement() {}

    /**
     * Replays a trace without a slow target, with slow targets, and with slow targets when targets are chosen at random
     * and without hedging.
     *
     * @param seed seed of the trace and of the choice of slow targets
     * @return the figures; the goal is an urgent p99 of at most 1.5 times that without a slow target
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1);
        TraceShape shape = DeploymentTraces.vocesDelPlata().withDurationMillis(DURATION_MILLIS);
        DeploymentPlan withRandomChoice = TrafficRun.withPolicy(
                plan,
                policy -> new PolicySettings(
                        false, false, policy.coldStartRamp(), policy.fairQueueing(), policy.sharedBudget()));
        List<TrafficFigure> figures = new ArrayList<>();
        double p99WithoutSlowTarget =
                addFigures(figures, "no slow target", TrafficRun.measure(plan, shape, seed, Disturbance.NONE));
        double p99WithSlowTarget = addFigures(
                figures,
                "slow target",
                TrafficRun.measure(plan, shape, seed, deployment -> slowDownTargets(deployment, seed)));
        double p99WithRandomChoice = addFigures(
                figures,
                "slow target, random choice",
                TrafficRun.measure(withRandomChoice, shape, seed, deployment -> slowDownTargets(deployment, seed)));
        figures.add(new TrafficFigure(
                "slow target",
                "urgent p99 / that without slow target [1.5]",
                p99WithSlowTarget / p99WithoutSlowTarget));
        figures.add(new TrafficFigure(
                "slow target, random choice",
                "urgent p99 / that without slow target",
                p99WithRandomChoice / p99WithoutSlowTarget));
        return figures;
    }

    private static double addFigures(List<TrafficFigure> figures, String variant, TrafficRun run) {
        ReplaySummary summary = ReplaySummary.of(run.results());
        figures.add(new TrafficFigure(variant, "p50 (ms)", summary.latency().p50Millis()));
        figures.add(new TrafficFigure(variant, "p99 (ms)", summary.latency().p99Millis()));
        figures.add(new TrafficFigure(variant, "p99.9 (ms)", summary.latency().p999Millis()));
        figures.add(new TrafficFigure(
                variant, "urgent p50 (ms)", summary.urgentLatency().p50Millis()));
        figures.add(new TrafficFigure(
                variant, "urgent p99 (ms)", summary.urgentLatency().p99Millis()));
        figures.add(new TrafficFigure(variant, "requests", summary.requests()));
        figures.add(new TrafficFigure(variant, "not answered", summary.requests() - summary.answers()));
        return summary.urgentLatency().p99Millis();
    }

    private static void slowDownTargets(Deployment deployment, long seed) throws InterruptedException {
        List<TargetHandle> targets = deployment.targets().stream()
                .filter(target -> target.pool().equals(POOL))
                .toList();
        SplittableRandom random = new SplittableRandom(seed);
        while (true) {
            TargetHandle target = targets.get(random.nextInt(targets.size()));
            target.setFaults(new TargetFaults(false, SLOW_FACTOR, false, false, false, TargetFaults.Drop.NONE));
            try {
                Thread.sleep(SLOW_DURATION_MILLIS);
            } finally {
                target.setFaults(TargetFaults.NONE);
            }
            Thread.sleep(SLOW_INTERVAL_MILLIS);
        }
    }
}
