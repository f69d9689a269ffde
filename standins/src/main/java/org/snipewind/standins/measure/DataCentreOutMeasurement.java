package org.snipewind.standins.measure;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.command.replay.ReplaySummary;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.trace.DeploymentTraces;
import org.snipewind.standins.trace.TraceShape;

/** Service while a data centre leaves and returns. */
public final class DataCentreOutMeasurement {

    private static final String DATA_CENTRE = "cordoba";
    private static final long DURATION_MILLIS = 14_000;
    private static final long OUT_AFTER_MILLIS = 2_000;
    private static final long BACK_AFTER_MILLIS = 6_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private DataCentreOutMeasurement() {}

    /**
     * Runs with all data centres, and with one that is taken out and brought back.
     *
     * @param seed seed of the trace
     * @return the figures; the last new request is to come within 3 s, and no request is to fail
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1);
        TraceShape shape = DeploymentTraces.vocesDelPlata().lasting(DURATION_MILLIS);
        List<TrafficFigure> figures = new ArrayList<>();
        add(figures, "all in service", TrafficRun.play(plan, shape, seed, Disturbance.NONE));
        long[] times = new long[2];
        TrafficRun run = TrafficRun.play(plan, shape, seed, deployment -> takeOutAndBack(deployment, times));
        add(figures, "one out and back", run);
        long last = run.executions().stream()
                .filter(execution -> isInside(plan, execution))
                .mapToLong(ExecutionRecord::startMicros)
                .filter(start -> start < times[1])
                .max()
                .orElse(times[0]);
        figures.add(new TrafficFigure(
                "one out and back",
                "time to the last new request (s) [3]",
                Math.max(0, last - times[0]) / MICROS_PER_SECOND));
        figures.add(new TrafficFigure(
                "one out and back",
                "starts there after the return",
                run.executions().stream()
                        .filter(execution -> isInside(plan, execution) && execution.startMicros() > times[1])
                        .count()));
        return figures;
    }

    private static void add(List<TrafficFigure> figures, String variant, TrafficRun run) {
        ReplaySummary summary = ReplaySummary.of(run.results());
        figures.add(new TrafficFigure(variant, "requests", summary.requests()));
        figures.add(new TrafficFigure(
                variant,
                "failed requests [0]",
                summary.requests() - summary.answersByStatus().getOrDefault("200", 0L)));
        figures.add(new TrafficFigure(variant, "p99 (ms)", summary.latency().p99Millis()));
        summary.refusals().forEach((name, count) -> figures.add(new TrafficFigure(variant, "not run: " + name, count)));
        summary.unknown().forEach((name, count) -> figures.add(new TrafficFigure(variant, "unknown: " + name, count)));
    }

    private static boolean isInside(DeploymentPlan plan, ExecutionRecord execution) {
        return plan.configuration().pools().values().stream()
                .flatMap(pool -> pool.targets().entrySet().stream())
                .anyMatch(target -> target.getKey().equals(execution.target())
                        && target.getValue().dataCentre().equals(DATA_CENTRE));
    }

    private static void takeOutAndBack(Deployment deployment, long[] times) throws InterruptedException {
        Thread.sleep(OUT_AFTER_MILLIS);
        times[0] = now();
        deployment.apply(withService(deployment.configuration(), false), "out");
        Thread.sleep(BACK_AFTER_MILLIS);
        times[1] = now();
        deployment.apply(withService(deployment.configuration(), true), "in");
    }

    private static FleetConfiguration withService(FleetConfiguration configuration, boolean inService) {
        Map<String, DataCentreSettings> dataCentres = new TreeMap<>(configuration.dataCentres());
        dataCentres.put(
                DATA_CENTRE, new DataCentreSettings(dataCentres.get(DATA_CENTRE).region(), inService));
        return new FleetConfiguration(
                dataCentres, configuration.pools(), configuration.routes(), configuration.organisations());
    }

    private static long now() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
