package org.snipewind.standins.measure;

import java.util.List;

/**
 * Measures the time until a key is served again after its target, the target's supervisor, both or a data centre was
 * killed.
 */
final class RecoveryMeasurement implements Measurement {

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return RecoveryRun.measure(options);
    }
}
