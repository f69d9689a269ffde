package org.snipewind.standins.measure;

import java.util.List;

/** Measures the resources that each of 3, 9, 27 and 81 daemons uses for control; up to 27 daemons share a process. */
final class ScaleMeasurement implements Measurement {

    private static final int DAEMONS_PER_PROCESS = 27;

    @Override
    public String name() {
        return "scale";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return new FleetSizeComparison(options, List.of(3, 9, 27, 81), DAEMONS_PER_PROCESS)
                .add("scale.bytes", "KB/s", IdleFleetUsage::kilobytesPerSecond)
                .add("scale.cpu", "% of a core", IdleFleetUsage::cpuPercent)
                .add("scale.memory", "MB live", IdleFleetUsage::liveMegabytes)
                .add("scale.store", "calls/s in all", IdleFleetUsage::totalStoreCallsPerSecond)
                .results();
    }
}
