package org.snipewind.standins.measure;

import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;

/**
 * Measures the time from the acceptance of a configuration change until it is in force on all daemons. The baseline is
 * the time that the acceptance itself takes.
 */
final class ConfigurationMeasurement implements Measurement {

    private static final double GOAL_SECONDS = 5;
    private static final double TARGET_RATIO = 0.4;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(30);

    @Override
    public String name() {
        return "config";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        Histogram accepted = new Histogram(3);
        Histogram inForce = new Histogram(3);
        try (Deployment deployment = Deployment.start(DeploymentPlan.of(options.deployment(), TARGET_RATIO))) {
            for (int changeNumber = 0; changeNumber < options.seconds(); changeNumber++) {
                long start = System.nanoTime();
                long revision = deployment.apply(deployment.configuration(), "change " + changeNumber);
                long end = System.nanoTime();
                accepted.recordValue((end - start) / 1_000);
                Deployment.await("revision " + revision, IN_FORCE_TIMEOUT, () -> isInForce(deployment, revision));
                inForce.recordValue((System.nanoTime() - end) / 1_000);
            }
        }
        String deploymentName = options.deployment();
        return List.of(
                MeasurementResult.of(
                        "config.acceptance", deploymentName, MeasurementResult.BASELINE, "s", seconds(accepted, 50)),
                MeasurementResult.of("config.in-force-p50", deploymentName, "9-daemons", "s", seconds(inForce, 50)),
                MeasurementResult.atMost(
                        "config.in-force-max", deploymentName, "9-daemons", "s", seconds(inForce, 100), GOAL_SECONDS));
    }

    private static boolean isInForce(Deployment deployment, long revision) {
        return deployment.daemons().stream()
                .allMatch(daemon -> deployment
                        .status(daemon)
                        .map(status -> status.configurationRevision() >= revision)
                        .orElse(false));
    }

    private static double seconds(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
    }
}
