package org.snipewind.standins.measure;

import java.util.List;

/** Time until a key is served again after a target, its supervisor, both or a data centre was killed. */
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
