package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.snipewind.command.replay.LatencySummary;
import org.snipewind.command.replay.ReplayResult;
import org.snipewind.command.replay.ReplaySummary;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.trace.DeploymentTraces;
import org.snipewind.standins.trace.TraceShape;

/** Service of the other organisations while one sends five times its rate. */
public final class FairnessMeasurement {

    private static final String OFFENDER = "rajkot-waters";
    // The traces load each organisation with half of its rate.
    private static final double OFFENCE = 10;
    private static final long DURATION_MILLIS = 10_000;

    private FairnessMeasurement() {}

    /**
     * Runs without an offender, with one, and with one and queues in order of arrival.
     *
     * @param seed seed of the trace
     * @return the figures; the worst-served organisation is to keep 99%
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.JALSETU, 1);
        DeploymentPlan unfair = TrafficRun.with(
                plan,
                policy -> new PolicySettings(
                        policy.hedging(),
                        policy.loadAwareChoice(),
                        policy.coldStartRamp(),
                        false,
                        policy.sharedBudget()));
        TraceShape calm = DeploymentTraces.jalsetu().lasting(DURATION_MILLIS);
        TraceShape offended = calm.scaled(name -> name.equals(OFFENDER) ? OFFENCE : 1);
        List<TrafficFigure> figures = new ArrayList<>();
        Map<String, Double> before =
                add(figures, "no offender", TrafficRun.play(plan, calm, calm, seed, Disturbance.NONE), Map.of());
        add(figures, "offender", TrafficRun.play(plan, calm, offended, seed, Disturbance.NONE), before);
        add(
                figures,
                "offender, order of arrival",
                TrafficRun.play(unfair, calm, offended, seed, Disturbance.NONE),
                before);
        return figures;
    }

    private static Map<String, Double> add(
            List<TrafficFigure> figures, String variant, TrafficRun run, Map<String, Double> before) {
        List<ReplayResult> others = run.results().stream()
                .filter(result -> !result.request().organisation().equals(OFFENDER))
                .toList();
        Map<String, Double> shares = ReplaySummary.of(others).shareInTime();
        figures.add(new TrafficFigure(
                variant,
                "worst share in time",
                shares.values().stream().min(Double::compare).orElse(0.0)));
        figures.add(new TrafficFigure(
                variant,
                "worst share in time / that without offender [0.99]",
                shares.entrySet().stream()
                        .mapToDouble(entry -> entry.getValue() / before.getOrDefault(entry.getKey(), entry.getValue()))
                        .min()
                        .orElse(0)));
        figures.add(new TrafficFigure(
                variant,
                "largest p99 of another organisation (ms)",
                shares.keySet().stream()
                        .mapToDouble(name -> LatencySummary.of(others.stream()
                                        .filter(result ->
                                                result.request().organisation().equals(name))
                                        .toList())
                                .p99Millis())
                        .max()
                        .orElse(0)));
        figures.add(new TrafficFigure(variant, "requests", run.results().size()));
        return shares;
    }
}
