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

/** Tail latency while one of six targets of the urgent pool is ten times slower for moments. */
public final class StragglersMeasurement {

    private static final String POOL = "disponible-ya";
    private static final double SLOW_FACTOR = 10;
    private static final long SLOW_MILLIS = 400;
    private static final long GAP_MILLIS = 300;
    private static final long DURATION_MILLIS = 12_000;

    private StragglersMeasurement() {}

    /**
     * Runs without a slow target, with slow targets, and with slow targets and random choice without hedging.
     *
     * @param seed seed of trace and slow moments
     * @return the figures; the target value of the urgent p99 is 1.5 times that without a slow target
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1);
        TraceShape shape = DeploymentTraces.vocesDelPlata().lasting(DURATION_MILLIS);
        DeploymentPlan random = TrafficRun.with(
                plan,
                policy -> new PolicySettings(
                        false, false, policy.coldStartRamp(), policy.fairQueueing(), policy.sharedBudget()));
        List<TrafficFigure> figures = new ArrayList<>();
        double calm = add(figures, "no slow target", TrafficRun.play(plan, shape, seed, Disturbance.NONE));
        double slow =
                add(figures, "slow target", TrafficRun.play(plan, shape, seed, deployment -> slow(deployment, seed)));
        double baseline = add(
                figures,
                "slow target, random choice",
                TrafficRun.play(random, shape, seed, deployment -> slow(deployment, seed)));
        figures.add(new TrafficFigure("slow target", "urgent p99 / that without slow target [1.5]", slow / calm));
        figures.add(new TrafficFigure(
                "slow target, random choice", "urgent p99 / that without slow target", baseline / calm));
        return figures;
    }

    private static double add(List<TrafficFigure> figures, String variant, TrafficRun run) {
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

    private static void slow(Deployment deployment, long seed) throws InterruptedException {
        List<TargetHandle> targets = deployment.targets().stream()
                .filter(target -> target.pool().equals(POOL))
                .toList();
        SplittableRandom random = new SplittableRandom(seed);
        while (true) {
            TargetHandle target = targets.get(random.nextInt(targets.size()));
            target.setFaults(new TargetFaults(false, SLOW_FACTOR, false, false, false, TargetFaults.Drop.NONE));
            try {
                Thread.sleep(SLOW_MILLIS);
            } finally {
                target.setFaults(TargetFaults.NONE);
            }
            Thread.sleep(GAP_MILLIS);
        }
    }
}
