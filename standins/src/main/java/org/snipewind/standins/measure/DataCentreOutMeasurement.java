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

/** Measures how requests are served while a data centre is taken out of service and put back. */
public final class DataCentreOutMeasurement {

    private static final String DATA_CENTRE = "cordoba";
    private static final long DURATION_MILLIS = 14_000;
    private static final long DELAY_BEFORE_REMOVAL_MILLIS = 2_000;
    private static final long OUT_OF_SERVICE_MILLIS = 6_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private DataCentreOutMeasurement() {}

    /**
     * Replays a trace with all data centres in service, and with one that is taken out of service and put back.
     *
     * @param seed seed of the trace
     * @return the figures; the goals are that the last new request in the data centre starts within 3 s of its removal,
     *     and that no request fails
     */
    public static List<TrafficFigure> run(long seed) {
        DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, 1);
        TraceShape shape = DeploymentTraces.vocesDelPlata().withDurationMillis(DURATION_MILLIS);
        List<TrafficFigure> figures = new ArrayList<>();
        addFigures(figures, "all in service", TrafficRun.measure(plan, shape, seed, Disturbance.NONE));
        long[] changeMicros = new long[2];
        TrafficRun run =
                TrafficRun.measure(plan, shape, seed, deployment -> removeAndRestore(deployment, changeMicros));
        addFigures(figures, "one out and back", run);
        long lastStartMicros = run.executions().stream()
                .filter(execution -> ranInDataCentre(plan, execution))
                .mapToLong(ExecutionRecord::startMicros)
                .filter(startMicros -> startMicros < changeMicros[1])
                .max()
                .orElse(changeMicros[0]);
        figures.add(new TrafficFigure(
                "one out and back",
                "time to the last new request (s) [3]",
                Math.max(0, lastStartMicros - changeMicros[0]) / MICROS_PER_SECOND));
        figures.add(new TrafficFigure(
                "one out and back",
                "starts there after the return",
                run.executions().stream()
                        .filter(execution ->
                                ranInDataCentre(plan, execution) && execution.startMicros() > changeMicros[1])
                        .count()));
        return figures;
    }

    private static void addFigures(List<TrafficFigure> figures, String variant, TrafficRun run) {
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

    private static boolean ranInDataCentre(DeploymentPlan plan, ExecutionRecord execution) {
        return plan.configuration().pools().values().stream()
                .flatMap(pool -> pool.targets().entrySet().stream())
                .anyMatch(target -> target.getKey().equals(execution.target())
                        && target.getValue().dataCentre().equals(DATA_CENTRE));
    }

    private static void removeAndRestore(Deployment deployment, long[] changeMicros) throws InterruptedException {
        Thread.sleep(DELAY_BEFORE_REMOVAL_MILLIS);
        changeMicros[0] = nowMicros();
        deployment.apply(withInService(deployment.configuration(), false), "out");
        Thread.sleep(OUT_OF_SERVICE_MILLIS);
        changeMicros[1] = nowMicros();
        deployment.apply(withInService(deployment.configuration(), true), "in");
    }

    private static FleetConfiguration withInService(FleetConfiguration configuration, boolean inService) {
        Map<String, DataCentreSettings> dataCentres = new TreeMap<>(configuration.dataCentres());
        dataCentres.put(
                DATA_CENTRE, new DataCentreSettings(dataCentres.get(DATA_CENTRE).region(), inService));
        return new FleetConfiguration(
                dataCentres, configuration.pools(), configuration.routes(), configuration.organisations());
    }

    private static long nowMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
