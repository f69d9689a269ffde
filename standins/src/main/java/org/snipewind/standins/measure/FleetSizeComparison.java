package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Compares the usage of fleets of several sizes and fits a straight line to each figure. */
final class FleetSizeComparison {

    private final String deployment;
    private final List<IdleFleetUsage> fleets;
    private final List<MeasurementResult> results = new ArrayList<>();

    FleetSizeComparison(MeasurementOptions options, List<Integer> sizes, int daemonsPerProcess) {
        deployment = options.deployment();
        fleets = sizes.stream()
                .map(size -> IdleFleetUsage.measure(deployment, size, daemonsPerProcess, options.seconds()))
                .toList();
    }

    /** Adds a figure for each size, with the smallest fleet as the baseline, and the line fitted to them. */
    FleetSizeComparison add(String name, String unit, ToDoubleFunction<IdleFleetUsage> figure) {
        for (IdleFleetUsage fleet : fleets) {
            String variant = fleet == fleets.get(0) ? MeasurementResult.BASELINE : fleet.daemons() + "-daemons";
            results.add(MeasurementResult.of(name, deployment, variant, unit, figure.applyAsDouble(fleet)));
        }
        LineFit fittedLine = LineFit.of(
                fleets.stream().map(fleet -> (double) fleet.daemons()).toList(),
                fleets.stream().map(figure::applyAsDouble).toList());
        results.add(MeasurementResult.of(name + ".slope", deployment, "fit", unit + " per daemon", fittedLine.slope()));
        results.add(MeasurementResult.of(name + ".intercept", deployment, "fit", unit, fittedLine.intercept()));
        results.add(
                MeasurementResult.of(name + ".fit-error", deployment, "fit", unit, fittedLine.rootMeanSquareError()));
        return this;
    }

    List<MeasurementResult> results() {
        return List.copyOf(results);
    }
}
