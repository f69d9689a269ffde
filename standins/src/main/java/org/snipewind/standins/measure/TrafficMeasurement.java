package org.snipewind.standins.measure;

import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * A measurement that replays a trace of one deployment.
 *
 * @param name name of the measurement
 * @param deployment deployment whose trace is replayed
 * @param smallestWanted whether a target value is the smallest value that is wanted instead of the largest
 * @param figures runs the measurement with a seed
 */
record TrafficMeasurement(
        String name, String deployment, boolean smallestWanted, LongFunction<List<TrafficFigure>> figures)
        implements Measurement {

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        return figures.apply(options.seed()).stream().map(this::result).toList();
    }

    private MeasurementResult result(TrafficFigure figure) {
        Optional<Double> target = figure.target();
        Optional<Boolean> met =
                target.map(wanted -> smallestWanted ? figure.value() >= wanted : figure.value() <= wanted);
        return new MeasurementResult(name, deployment, figure.variant(), figure.label(), figure.value(), target, met);
    }
}
