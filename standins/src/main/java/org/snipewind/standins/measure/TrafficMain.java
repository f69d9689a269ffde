package org.snipewind.standins.measure;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs measurements that replay traces. */
public final class TrafficMain {

    private static final Map<String, LongFunction<List<TrafficFigure>>> MEASUREMENTS = new TreeMap<>(Map.of(
            "stragglers", StragglersMeasurement::run,
            "fairness", FairnessMeasurement::run,
            "limits", LimitsMeasurement::run,
            "cold-start", ColdStartMeasurement::run,
            "data-center-out", DataCentreOutMeasurement::run,
            "at-most-once", AtMostOnceMeasurement::run));

    private TrafficMain() {}

    /**
     * Runs measurements and prints their figures.
     *
     * @param arguments names of measurements
     */
    public static void main(String[] arguments) {
        System.setProperty("logback.configurationFile", "standins-logback.xml");
        ArgumentParser parser = ArgumentParsers.newFor("traffic").build().description("Measures with replayed traces.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all random choices (default 1)");
        parser.addArgument("name").nargs("+").choices(MEASUREMENTS.keySet()).help("measurements to run");
        Namespace namespace = parser.parseArgsOrFail(arguments);
        for (String name : namespace.<String>getList("name")) {
            System.out.println(name + ", seed " + namespace.getLong("seed"));
            MEASUREMENTS
                    .get(name)
                    .apply(namespace.getLong("seed"))
                    .forEach(figure -> System.out.println("  " + figure.line()));
        }
        System.exit(0);
    }
}
