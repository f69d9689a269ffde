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

/** Measures the service of the other organisations while one sends requests at five times its rate. */
public final class FairnessMeasurement {

    private static final String OFFENDER = "rajkot-waters";
    // The traces use half of each organisation's rate, so 10 gives five times the rate.
    private static final double OFFENDER_LOAD_FACTOR = 10;
    private static final long DURATION_MILLIS = 10_000;

    private FairnessMeasurement() {}

    /**
     * Replays a trace without an offender, with an offender, and with an offender and queues in order of
     * arrival. The offender is the organisation that exceeds its rate.
     *
     * @param seed seed of the trace
     * @return the figures; the goal is that the fraction of requests served in time does not fall below 99% of its
     *     value without an offender, for the worst-served organisation
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.JALSETU, 1);
        DeploymentPlan withoutFairQueueing = TrafficRun.withPolicy(
                plan,
                policy -> new PolicySettings(
                        policy.hedging(),
                        policy.loadAwareChoice(),
                        policy.coldStartRamp(),
                        false,
                        policy.sharedBudget()));
        TraceShape regularLoad = DeploymentTraces.jalsetu().withDurationMillis(DURATION_MILLIS);
        TraceShape overload = regularLoad.withScaledRates(name -> name.equals(OFFENDER) ? OFFENDER_LOAD_FACTOR : 1);
        List<TrafficFigure> figures = new ArrayList<>();
        Map<String, Double> baselineFractions = addFigures(
                figures,
                "no offender",
                TrafficRun.measure(plan, regularLoad, regularLoad, seed, Disturbance.NONE),
                Map.of());
        addFigures(
                figures,
                "offender",
                TrafficRun.measure(plan, regularLoad, overload, seed, Disturbance.NONE),
                baselineFractions);
        addFigures(
                figures,
                "offender, order of arrival",
                TrafficRun.measure(withoutFairQueueing, regularLoad, overload, seed, Disturbance.NONE),
                baselineFractions);
        return figures;
    }

    private static Map<String, Double> addFigures(
            List<TrafficFigure> figures, String variant, TrafficRun run, Map<String, Double> baselineFractions) {
        List<ReplayResult> others = run.results().stream()
                .filter(result -> !result.request().organisation().equals(OFFENDER))
                .toList();
        Map<String, Double> fractionsInTime = ReplaySummary.of(others).shareInTime();
        figures.add(new TrafficFigure(
                variant,
                "worst share in time",
                fractionsInTime.values().stream().min(Double::compare).orElse(0.0)));
        figures.add(new TrafficFigure(
                variant,
                "worst share in time / that without offender [0.99]",
                fractionsInTime.entrySet().stream()
                        .mapToDouble(entry ->
                                entry.getValue() / baselineFractions.getOrDefault(entry.getKey(), entry.getValue()))
                        .min()
                        .orElse(0)));
        figures.add(new TrafficFigure(
                variant,
                "largest p99 of another organisation (ms)",
                fractionsInTime.keySet().stream()
                        .mapToDouble(name -> LatencySummary.of(others.stream()
                                        .filter(result ->
                                                result.request().organisation().equals(name))
                                        .toList())
                                .p99Millis())
                        .max()
                        .orElse(0)));
        figures.add(new TrafficFigure(variant, "requests", run.results().size()));
        return fractionsInTime;
    }
}
