package org.snipewind.standins.measure;

import java.util.List;

/** Measures CPU, memory and control traffic of nine daemons without callers; the baseline is a single daemon. */
final class ControlMeasurement implements Measurement {

    private static final int DAEMONS = 9;
    private static final double CPU_GOAL_PERCENT = 4.2;
    private static final double MEMORY_GOAL_MEGABYTES = 32;
    private static final double GOAL_KILOBYTES_PER_SECOND = 19;

    @Override
    public String name() {
        return "control";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        String deploymentName = options.deployment();
        IdleFleetUsage alone = IdleFleetUsage.measure(deploymentName, 1, 1, options.seconds());
        IdleFleetUsage fleet = IdleFleetUsage.measure(deploymentName, DAEMONS, 1, options.seconds());
        String variant = DAEMONS + "-daemons";
        return List.of(
                MeasurementResult.of(
                        "control.cpu", deploymentName, MeasurementResult.BASELINE, "% of a core", alone.cpuPercent()),
                MeasurementResult.of(
                        "control.memory", deploymentName, MeasurementResult.BASELINE, "MB live", alone.liveMegabytes()),
                MeasurementResult.of(
                        "control.bytes",
                        deploymentName,
                        MeasurementResult.BASELINE,
                        "KB/s",
                        alone.kilobytesPerSecond()),
                MeasurementResult.atMost(
                        "control.cpu", deploymentName, variant, "% of a core", fleet.cpuPercent(), CPU_GOAL_PERCENT),
                MeasurementResult.atMost(
                        "control.memory",
                        deploymentName,
                        variant,
                        "MB live",
                        fleet.liveMegabytes(),
                        MEMORY_GOAL_MEGABYTES),
                MeasurementResult.atMost(
                        "control.bytes",
                        deploymentName,
                        variant,
                        "KB/s",
                        fleet.kilobytesPerSecond(),
                        GOAL_KILOBYTES_PER_SECOND));
    }
}
