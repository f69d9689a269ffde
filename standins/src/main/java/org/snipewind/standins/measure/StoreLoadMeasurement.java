package org.snipewind.standins.measure;

import java.util.List;

/** Measures the store calls per second, by kind, of 3, 9 and 27 daemons. */
final class StoreLoadMeasurement implements Measurement {

    @Override
    public String name() {
        return "store-load";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        FleetSizeComparison comparison = new FleetSizeComparison(options, List.of(3, 9, 27), 9);
        for (String kind : List.of("get", "swap", "watch")) {
            comparison.add(
                    "store-load." + kind,
                    "calls/s",
                    fleet -> fleet.storeCallsPerSecond().getOrDefault(kind, 0.0));
        }
        return comparison.results();
    }
}
