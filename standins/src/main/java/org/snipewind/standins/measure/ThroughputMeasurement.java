package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.load.LoadGenerator;

/** Requests per second and used core, with three daemons against one. */
final class ThroughputMeasurement implements Measurement {

    private static final int RATE = 1_000;
    private static final int WARM_UP_SECONDS = 8;

    @Override
    public String name() {
        return "throughput";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        List<MeasurementResult> results = new ArrayList<>();
        double alone = requestsPerCore(options, 1);
        double three = requestsPerCore(options, 3);
        String where = options.deployment();
        results.add(MeasurementResult.of(
                "throughput", where, MeasurementResult.BASELINE, "requests/s per core, 1 daemon", alone));
        results.add(MeasurementResult.of("throughput", where, "3-daemons", "requests/s per core", three));
        results.add(MeasurementResult.of("throughput.ratio", where, "3-daemons", "ratio", three / alone));
        return results;
    }

    private static double requestsPerCore(MeasurementOptions options, int daemons) {
        try (Deployment deployment = Deployment.start(RoutedLoad.plan(options.deployment(), daemons));
                LoadGenerator load = new LoadGenerator()) {
            RoutedLoad requests = new RoutedLoad(deployment, load);
            Random random = new Random(options.seed());
            requests.run(requests.routed(RATE, WARM_UP_SECONDS, random));
            double before = ProcessUse.cpuSeconds(deployment.daemons());
            requests.run(requests.routed(RATE, options.seconds(), random));
            return RATE * options.seconds() / (ProcessUse.cpuSeconds(deployment.daemons()) - before);
        }
    }
}
