package org.snipewind.standins.measure;

import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * A measurement that replays a trace of one deployment.
 *
 * @param name name of the measurement
 * @param deployment deployment whose trace is replayed
 * @param goalIsMinimum whether goals are minimum values instead of maximum values
 * @param figuresForSeed function that runs the measurement with a seed and returns its figures
 */
record TrafficMeasurement(
        String name, String deployment, boolean goalIsMinimum, LongFunction<List<TrafficFigure>> figuresForSeed)
        implements Measurement {

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return figuresForSeed.apply(options.seed()).stream().map(this::result).toList();
    }

    private MeasurementResult result(TrafficFigure figure) {
        Optional<Double> goal = figure.goal();
        Optional<Boolean> goalMet =
                goal.map(wantedValue -> goalIsMinimum ? figure.value() >= wantedValue : figure.value() <= wantedValue);
        return new MeasurementResult(name, deployment, figure.variant(), figure.label(), figure.value(), goal, goalMet);
    }
}
