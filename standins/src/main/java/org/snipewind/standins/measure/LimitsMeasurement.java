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
 * Excess over the rate and wrongful refusals, with entry instances used evenly and very unevenly.
 *
 * <p>A token is used between the sending of the request and its first start at a target. A window therefore counts only
 * the requests that were sent and started inside it, which can miss an excess but never reports one that was not there.
 */
public final class LimitsMeasurement {

    private static final String OFFENDER = "estudio-norte";
    // The traces load each organisation with half of its rate.
    private static final double OFFENCE = 6;
    private static final double WITHIN = 1.6;
    private static final double UNEVEN = 0.4;
    private static final long DURATION_MILLIS = 8_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private LimitsMeasurement() {}

    /**
     * Runs with even and uneven entry, each also with an equal share of the rate on each daemon.
     *
     * @param seed seed of the trace
     * @return the figures; the excess is to be 0 and the wrongful refusals below 0.1%
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1);
        DeploymentPlan shares = TrafficRun.with(
                plan,
                policy -> new PolicySettings(
                        policy.hedging(),
                        policy.loadAwareChoice(),
                        policy.coldStartRamp(),
                        policy.fairQueueing(),
                        false));
        TraceShape even = DeploymentTraces.vocesDelPlata()
                .lasting(DURATION_MILLIS)
                .scaled(name -> name.equals(OFFENDER) ? OFFENCE : WITHIN);
        TraceShape uneven = even.withEntryFallOff(UNEVEN);
        TraceShape warmUp = DeploymentTraces.vocesDelPlata();
        List<TrafficFigure> figures = new ArrayList<>();
        add(figures, "even", plan, TrafficRun.play(plan, warmUp, even, seed, Disturbance.NONE));
        add(figures, "uneven", plan, TrafficRun.play(plan, warmUp, uneven, seed, Disturbance.NONE));
        add(figures, "even, rate/9", plan, TrafficRun.play(shares, warmUp, even, seed, Disturbance.NONE));
        add(figures, "uneven, rate/9", plan, TrafficRun.play(shares, warmUp, uneven, seed, Disturbance.NONE));
        return figures;
    }

    private static void add(List<TrafficFigure> figures, String variant, DeploymentPlan plan, TrafficRun run) {
        Map<String, Long> firstStarts = new HashMap<>();
        for (ExecutionRecord execution : run.executions()) {
            firstStarts.merge(TrafficRun.idOf(execution), execution.startMicros() - run.startMicros(), Math::min);
        }
        double excess = Double.NEGATIVE_INFINITY;
        long within = 0;
        long refused = 0;
        for (String organisation : plan.configuration().organisations().keySet()) {
            List<ReplayResult> own = run.results().stream()
                    .filter(result -> result.request().organisation().equals(organisation))
                    .toList();
            BudgetSettings budget =
                    plan.configuration().organisations().get(organisation).budget();
            excess = Math.max(excess, excess(own, firstStarts, budget));
            if (!organisation.equals(OFFENDER)) {
                within += own.size();
                refused += own.stream()
                        .filter(LimitsMeasurement::isRefusedByBudget)
                        .count();
            }
        }
        figures.add(new TrafficFigure(variant, "largest excess (requests, below 0 is none) [0]", excess));
        figures.add(new TrafficFigure(variant, "requests within the rate", within));
        figures.add(new TrafficFigure(variant, "wrongful refusals (%) [0.1]", 100.0 * refused / within));
        figures.add(new TrafficFigure(
                variant,
                "answers to the offender",
                run.results().stream()
                        .filter(result -> result.request().organisation().equals(OFFENDER))
                        .filter(ReplayResult::isAnsweredInTime)
                        .count()));
    }

    private static boolean isRefusedByBudget(ReplayResult result) {
        return result.reason().equals(ErrorKind.RATE_EXCEEDED.wireName())
                || result.reason().equals(ErrorKind.BUDGET_UNAVAILABLE.wireName());
    }

    private static double excess(List<ReplayResult> own, Map<String, Long> firstStarts, BudgetSettings budget) {
        List<ReplayResult> started = own.stream()
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
