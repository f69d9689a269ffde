package org.snipewind.standins.measure;

import java.util.List;

/** What nine daemons without callers use for control; the baseline is a daemon alone. */
final class ControlMeasurement implements Measurement {

    private static final int DAEMONS = 9;
    private static final double CPU_TARGET = 4.2;
    private static final double MEMORY_TARGET = 32;
    private static final double BYTES_TARGET = 19;

    @Override
    public String name() {
        return "control";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        String where = options.deployment();
        IdleFleet alone = IdleFleet.measure(where, 1, 1, options.seconds());
        IdleFleet fleet = IdleFleet.measure(where, DAEMONS, 1, options.seconds());
        String variant = DAEMONS + "-daemons";
        return List.of(
                MeasurementResult.of(
                        "control.cpu", where, MeasurementResult.BASELINE, "% of a core", alone.cpuPercent()),
                MeasurementResult.of(
                        "control.memory", where, MeasurementResult.BASELINE, "MB live", alone.liveMegabytes()),
                MeasurementResult.of("control.bytes", where, MeasurementResult.BASELINE, "KB/s", alone.kilobytes()),
                MeasurementResult.atMost("control.cpu", where, variant, "% of a core", fleet.cpuPercent(), CPU_TARGET),
                MeasurementResult.atMost(
                        "control.memory", where, variant, "MB live", fleet.liveMegabytes(), MEMORY_TARGET),
                MeasurementResult.atMost("control.bytes", where, variant, "KB/s", fleet.kilobytes(), BYTES_TARGET));
    }
}
