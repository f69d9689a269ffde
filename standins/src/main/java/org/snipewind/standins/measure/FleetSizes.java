package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Figures of fleets of several sizes and the line through them. */
final class FleetSizes {

    private final String deployment;
    private final List<IdleFleet> fleets;
    private final List<MeasurementResult> results = new ArrayList<>();

    FleetSizes(MeasurementOptions options, List<Integer> sizes, int perProcess) {
        deployment = options.deployment();
        fleets = sizes.stream()
                .map(size -> IdleFleet.measure(deployment, size, perProcess, options.seconds()))
                .toList();
    }

    /** Adds the figure of each size; the smallest fleet is the baseline. */
    FleetSizes add(String name, String unit, ToDoubleFunction<IdleFleet> figure) {
        for (IdleFleet fleet : fleets) {
            String variant = fleet == fleets.get(0) ? MeasurementResult.BASELINE : fleet.daemons() + "-daemons";
            results.add(MeasurementResult.of(name, deployment, variant, unit, figure.applyAsDouble(fleet)));
        }
        LineFit line = LineFit.of(
                fleets.stream().map(fleet -> (double) fleet.daemons()).toList(),
                fleets.stream().map(figure::applyAsDouble).toList());
        results.add(MeasurementResult.of(name + ".slope", deployment, "fit", unit + " per daemon", line.slope()));
        results.add(MeasurementResult.of(name + ".intercept", deployment, "fit", unit, line.intercept()));
        results.add(MeasurementResult.of(name + ".fit-error", deployment, "fit", unit, line.error()));
        return this;
    }

    List<MeasurementResult> results() {
        return List.copyOf(results);
    }
}
