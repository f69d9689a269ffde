package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.load.LoadGenerator;

/** Measures the requests per second for each used CPU core with three daemons; the baseline is one daemon. */
final class ThroughputMeasurement implements Measurement {

    private static final int REQUESTS_PER_SECOND = 1_000;
    private static final int WARM_UP_SECONDS = 8;

    @Override
    public String name() {
        return "throughput";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        List<MeasurementResult> results = new ArrayList<>();
        double oneDaemon = requestsPerCore(options, 1);
        double threeDaemons = requestsPerCore(options, 3);
        String deploymentName = options.deployment();
        results.add(MeasurementResult.of(
                "throughput", deploymentName, MeasurementResult.BASELINE, "requests/s per core, 1 daemon", oneDaemon));
        results.add(
                MeasurementResult.of("throughput", deploymentName, "3-daemons", "requests/s per core", threeDaemons));
        results.add(MeasurementResult.of(
                "throughput.ratio", deploymentName, "3-daemons", "ratio", threeDaemons / oneDaemon));
        return results;
    }

    private static double requestsPerCore(MeasurementOptions options, int daemons) {
        try (Deployment deployment = Deployment.start(RoutedLoad.planOf(options.deployment(), daemons));
                LoadGenerator generator = new LoadGenerator()) {
            RoutedLoad load = new RoutedLoad(deployment, generator);
            Random random = new Random(options.seed());
            load.measureLatency(load.routedRequests(REQUESTS_PER_SECOND, WARM_UP_SECONDS, random));
            double cpuSecondsBefore = ProcessUsage.cpuSeconds(deployment.daemons());
            load.measureLatency(load.routedRequests(REQUESTS_PER_SECOND, options.seconds(), random));
            return REQUESTS_PER_SECOND
                    * options.seconds()
                    / (ProcessUsage.cpuSeconds(deployment.daemons()) - cpuSecondsBefore);
        }
    }
}
