package org.snipewind.standins.measure;

import java.util.List;

/** Store calls per second by kind with 3, 9 and 27 daemons. */
final class StoreLoadMeasurement implements Measurement {

    @Override
    public String name() {
        return "store-load";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        FleetSizes sizes = new FleetSizes(options, List.of(3, 9, 27), 9);
        for (String kind : List.of("get", "swap", "watch")) {
            sizes.add(
                    "store-load." + kind, "calls/s", fleet -> fleet.storeCalls().getOrDefault(kind, 0.0));
        }
        return sizes.results();
    }
}
