package org.snipewind.standins.measure;

import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.load.LoadGenerator;

/**
 * Measures the latency that the router adds at 500 requests/s when the entry daemon is not the supervisor of the
 * target. The baseline is requests sent directly to the targets.
 */
final class OverheadMeasurement implements Measurement {

    private static final int REQUESTS_PER_SECOND = 500;
    private static final int WARM_UP_SECONDS = 8;
    private static final double P50_GOAL_MILLIS = 1.5;
    private static final double P99_GOAL_MILLIS = 5;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        try (Deployment deployment = Deployment.start(RoutedLoad.planOf(options.deployment(), 3));
                LoadGenerator generator = new LoadGenerator()) {
            RoutedLoad load = new RoutedLoad(deployment, generator);
            Random random = new Random(options.seed());
            load.measureLatency(load.routedRequests(REQUESTS_PER_SECOND, WARM_UP_SECONDS, random));
            load.measureLatency(load.directRequests(REQUESTS_PER_SECOND, WARM_UP_SECONDS / 2, random));
            Histogram direct = load.measureLatency(load.directRequests(REQUESTS_PER_SECOND, options.seconds(), random));
            Histogram routed = load.measureLatency(load.routedRequests(REQUESTS_PER_SECOND, options.seconds(), random));
            String deploymentName = options.deployment();
            double directP50Millis = millis(direct, 50);
            double directP99Millis = millis(direct, 99);
            double routedP50Millis = millis(routed, 50);
            double routedP99Millis = millis(routed, 99);
            return List.of(
                    MeasurementResult.of(
                            "overhead.p50", deploymentName, MeasurementResult.BASELINE, "ms", directP50Millis),
                    MeasurementResult.of(
                            "overhead.p99", deploymentName, MeasurementResult.BASELINE, "ms", directP99Millis),
                    MeasurementResult.of("overhead.p50", deploymentName, "routed", "ms", routedP50Millis),
                    MeasurementResult.of("overhead.p99", deploymentName, "routed", "ms", routedP99Millis),
                    MeasurementResult.of(
                            "overhead.p50-ratio", deploymentName, "routed", "ratio", routedP50Millis / directP50Millis),
                    MeasurementResult.atMost(
                            "overhead.p50-added",
                            deploymentName,
                            "routed",
                            "ms",
                            routedP50Millis - directP50Millis,
                            P50_GOAL_MILLIS),
                    MeasurementResult.atMost(
                            "overhead.p99-added",
                            deploymentName,
                            "routed",
                            "ms",
                            routedP99Millis - directP99Millis,
                            P99_GOAL_MILLIS));
        }
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
