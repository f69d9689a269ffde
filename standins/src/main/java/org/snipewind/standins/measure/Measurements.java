package org.snipewind.standins.measure;

import java.util.List;
import java.util.Optional;

/** The list of all measurements. */
public final class Measurements {

    private static final List<Measurement> ALL = List.of(
            new OverheadMeasurement(),
            new ThroughputMeasurement(),
            new ControlMeasurement(),
            new StoreLoadMeasurement(),
            new ConfigurationMeasurement(),
            new ScaleMeasurement(),
            new RecoveryMeasurement(),
            new ExclusiveMeasurement(),
            new BalanceMeasurement());

    private Measurements() {}

    /**
     * Lists the measurements.
     *
     * @return the measurements in the order in which they run
     */
    public static List<Measurement> all() {
        return ALL;
    }

    /**
     * Finds a measurement.
     *
     * @param name its name
     * @return the measurement, or empty if there is none
     */
    public static Optional<Measurement> find(String name) {
        return ALL.stream()
                .filter(measurement -> measurement.name().equals(name))
                .findFirst();
    }
}
