package org.snipewind.standins.measure;

import java.util.List;

/** Counts overlaps in which two targets hold or serve the same slice, under a seeded mix of faults. */
final class ExclusiveOwnershipMeasurement implements Measurement {

    @Override
    public String name() {
        return "exclusive";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return ExclusiveOwnershipRun.measure(options);
    }
}
