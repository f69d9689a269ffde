package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.command.replay.ReplayResult;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.trace.DeploymentTraces;
import org.snipewind.standins.trace.TraceShape;

/**
 * Measures the excess over the configured rates and the wrongful refusals, with an even and a very uneven distribution
 * of the requests over the entry instances.
 *
 * <p>A request takes its token at some time between its sending and its first start at a target. A window therefore
 * counts only requests that were both sent and started within it. This can miss an excess but never reports a false
 * one.
 */
public final class LimitsMeasurement {

    private static final String OFFENDER = "estudio-norte";
    // The traces use half of each organisation's rate: 6 gives three times the rate, 1.6 gives 80% of it.
    private static final double OFFENDER_LOAD_FACTOR = 6;
    private static final double CONFORMING_LOAD_FACTOR = 1.6;
    private static final double UNEVEN_ENTRY_LOAD_RATIO = 0.4;
    private static final long DURATION_MILLIS = 8_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private LimitsMeasurement() {}

    /**
     * Replays traces with an even and an uneven load of the entry instances, each also with the rate split into equal
     * fixed shares of the daemons.
     *
     * @param seed seed of the trace
     * @return the figures; the goals are no excess, and wrongful refusals of at most 0.1%
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1);
        DeploymentPlan withFixedShares = TrafficRun.withPolicy(
                plan,
                policy -> new PolicySettings(
                        policy.hedging(),
                        policy.loadAwareChoice(),
                        policy.coldStartRamp(),
                        policy.fairQueueing(),
                        false));
        TraceShape even = DeploymentTraces.vocesDelPlata()
                .withDurationMillis(DURATION_MILLIS)
                .withScaledRates(name -> name.equals(OFFENDER) ? OFFENDER_LOAD_FACTOR : CONFORMING_LOAD_FACTOR);
        TraceShape uneven = even.withEntryLoadRatio(UNEVEN_ENTRY_LOAD_RATIO);
        TraceShape warmUp = DeploymentTraces.vocesDelPlata();
        List<TrafficFigure> figures = new ArrayList<>();
        addFigures(figures, "even", plan, TrafficRun.measure(plan, warmUp, even, seed, Disturbance.NONE));
        addFigures(figures, "uneven", plan, TrafficRun.measure(plan, warmUp, uneven, seed, Disturbance.NONE));
        addFigures(
                figures,
                "even, rate/9",
                plan,
                TrafficRun.measure(withFixedShares, warmUp, even, seed, Disturbance.NONE));
        addFigures(
                figures,
                "uneven, rate/9",
                plan,
                TrafficRun.measure(withFixedShares, warmUp, uneven, seed, Disturbance.NONE));
        return figures;
    }

    private static void addFigures(List<TrafficFigure> figures, String variant, DeploymentPlan plan, TrafficRun run) {
        Map<String, Long> firstStarts = new HashMap<>();
        for (ExecutionRecord execution : run.executions()) {
            firstStarts.merge(
                    TrafficRun.requestIdOf(execution), execution.startMicros() - run.startMicros(), Math::min);
        }
        double excess = Double.NEGATIVE_INFINITY;
        long requestsWithinRate = 0;
        long refusedWithinRate = 0;
        for (String organisation : plan.configuration().organisations().keySet()) {
            List<ReplayResult> organisationResults = run.results().stream()
                    .filter(result -> result.request().organisation().equals(organisation))
                    .toList();
            BudgetSettings budget =
                    plan.configuration().organisations().get(organisation).budget();
            excess = Math.max(excess, largestExcess(organisationResults, firstStarts, budget));
            if (!organisation.equals(OFFENDER)) {
                requestsWithinRate += organisationResults.size();
                refusedWithinRate += organisationResults.stream()
                        .filter(LimitsMeasurement::isRefusedByRateLimit)
                        .count();
            }
        }
        figures.add(new TrafficFigure(variant, "largest excess (requests, below 0 is none) [0]", excess));
        figures.add(new TrafficFigure(variant, "requests within the rate", requestsWithinRate));
        figures.add(new TrafficFigure(
                variant, "wrongful refusals (%) [0.1]", 100.0 * refusedWithinRate / requestsWithinRate));
        figures.add(new TrafficFigure(
                variant,
                "answers to the offender",
                run.results().stream()
                        .filter(result -> result.request().organisation().equals(OFFENDER))
                        .filter(ReplayResult::isAnsweredInTime)
                        .count()));
    }

    private static boolean isRefusedByRateLimit(ReplayResult result) {
        return result.reason().equals(ErrorKind.RATE_EXCEEDED.wireName())
                || result.reason().equals(ErrorKind.BUDGET_UNAVAILABLE.wireName());
    }

    private static double largestExcess(
            List<ReplayResult> organisationResults, Map<String, Long> firstStarts, BudgetSettings budget) {
        List<ReplayResult> started = organisationResults.stream()
                .filter(result -> firstStarts.containsKey(result.id()))
                .sorted(Comparator.comparingLong(result -> firstStarts.get(result.id())))
                .toList();
        double largest = Double.NEGATIVE_INFINITY;
        for (ReplayResult first : started) {
            int count = 0;
            for (ReplayResult last : started) {
                if (last.sentMicros() >= first.sentMicros()) {
                    count++;
                    double seconds = (firstStarts.get(last.id()) - first.sentMicros()) / MICROS_PER_SECOND;
                    largest = Math.max(largest, count - budget.burst() - budget.rate() * seconds);
                }
            }
        }
        return largest;
    }
}
