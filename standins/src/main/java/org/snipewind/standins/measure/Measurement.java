package org.snipewind.standins.measure;

import java.util.List;

/** A measurement of bin/measure. */
public interface Measurement {

    /**
     * Gives the name on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the measurement.
     *
     * @param options what to measure
     * @return its results, the baseline among them
     */
    List<MeasurementResult> run(MeasurementOptions options);
}
