package org.snipewind.standins.measure;

import java.util.List;

/** Imbalance and churn of the planner, beside consistent hashing and no moves. */
final class BalanceMeasurement implements Measurement {

    @Override
    public String name() {
        return "balance";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return BalanceRun.measure(options);
    }
}
