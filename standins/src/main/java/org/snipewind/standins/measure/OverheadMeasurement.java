package org.snipewind.standins.measure;

import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.load.LoadGenerator;

/** Latency added at 500 requests/s when entry daemon and supervisor differ, against requests sent to the targets. */
final class OverheadMeasurement implements Measurement {

    private static final int RATE = 500;
    private static final int WARM_UP_SECONDS = 8;
    private static final double MEDIAN_TARGET = 1.5;
    private static final double HIGH_TARGET = 5;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        try (Deployment deployment = Deployment.start(RoutedLoad.plan(options.deployment(), 3));
                LoadGenerator load = new LoadGenerator()) {
            RoutedLoad requests = new RoutedLoad(deployment, load);
            Random random = new Random(options.seed());
            requests.run(requests.routed(RATE, WARM_UP_SECONDS, random));
            requests.run(requests.direct(RATE, WARM_UP_SECONDS / 2, random));
            Histogram direct = requests.run(requests.direct(RATE, options.seconds(), random));
            Histogram routed = requests.run(requests.routed(RATE, options.seconds(), random));
            String where = options.deployment();
            double directMedian = millis(direct, 50);
            double directHigh = millis(direct, 99);
            double median = millis(routed, 50);
            double high = millis(routed, 99);
            return List.of(
                    MeasurementResult.of("overhead.p50", where, MeasurementResult.BASELINE, "ms", directMedian),
                    MeasurementResult.of("overhead.p99", where, MeasurementResult.BASELINE, "ms", directHigh),
                    MeasurementResult.of("overhead.p50", where, "routed", "ms", median),
                    MeasurementResult.of("overhead.p99", where, "routed", "ms", high),
                    MeasurementResult.of("overhead.p50-ratio", where, "routed", "ratio", median / directMedian),
                    MeasurementResult.atMost(
                            "overhead.p50-added", where, "routed", "ms", median - directMedian, MEDIAN_TARGET),
                    MeasurementResult.atMost(
                            "overhead.p99-added", where, "routed", "ms", high - directHigh, HIGH_TARGET));
        }
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
