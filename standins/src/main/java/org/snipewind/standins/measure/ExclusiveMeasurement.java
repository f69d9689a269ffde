package org.snipewind.standins.measure;

import java.util.List;

/** Overlaps of two targets that hold or serve one slice, through a seeded mix of faults. */
final class ExclusiveMeasurement implements Measurement {

    @Override
    public String name() {
        return "exclusive";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return ExclusiveRun.measure(options);
    }
}
