package org.snipewind.standins.measure;

import java.util.List;

/** A measurement of bin/measure. */
public interface Measurement {

    /**
     * Returns the name by which the command line selects the measurement.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the measurement.
     *
     * @param options deployment, duration and seed
     * @return the results, including those of the baseline
     */
    List<MeasurementResult> run(MeasurementOptions options);
}
