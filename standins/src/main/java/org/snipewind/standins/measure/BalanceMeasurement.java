package org.snipewind.standins.measure;

import java.util.List;

/** Measures imbalance and churn of the planner's assignments; the baselines are consistent hashing and no moves. */
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
