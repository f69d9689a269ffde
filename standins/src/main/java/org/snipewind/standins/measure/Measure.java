package org.snipewind.standins.measure;

import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.snipewind.standins.deployment.DeploymentPlan;

/** Main class of the program {@code bin/measure}. */
public final class Measure {

    private static final int DEFAULT_SECONDS = 10;

    private Measure() {}

    /**
     * Runs one measurement or all of them and prints each result as a JSON object on a line of its own.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("measure")
                .build()
                .description("Runs measurements; exit code 1 if a target value was not met.");
        parser.addArgument("name").nargs("?").metavar("NAME").help("measurement, or all");
        parser.addArgument("--list").action(Arguments.storeTrue()).help("list the measurements");
        parser.addArgument("--deployment")
                .choices(DeploymentPlan.VOCES_DEL_PLATA, DeploymentPlan.JALSETU)
                .setDefault(DeploymentPlan.VOCES_DEL_PLATA)
                .help("sample deployment (default voces-del-plata)");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(DEFAULT_SECONDS)
                .help("length of each measured phase (default 10)");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of random choices (default 1)");
        try {
            System.exit(run(parser, parser.parseArgs(arguments)));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(e instanceof HelpScreenException ? 0 : 2);
        }
    }

    private static int run(ArgumentParser parser, Namespace namespace) throws ArgumentParserException {
        if (namespace.getBoolean("list")) {
            Measurements.all().forEach(measurement -> System.out.println(measurement.name()));
            return 0;
        }
        String name = namespace.getString("name");
        if (name == null) {
            throw new ArgumentParserException("a measurement, all or --list is needed", parser);
        }
        List<Measurement> selected = name.equals("all")
                ? Measurements.all()
                : List.of(Measurements.find(name)
                        .orElseThrow(() -> new ArgumentParserException("unknown measurement " + name, parser)));
        MeasurementOptions options = new MeasurementOptions(
                namespace.getString("deployment"), namespace.getInt("seconds"), namespace.getLong("seed"));
        boolean goalsMet = true;
        for (Measurement measurement : selected) {
            try {
                for (MeasurementResult result : measurement.run(options)) {
                    System.out.println(result.toJson());
                    goalsMet &= result.goalMet().orElse(true);
                }
            } catch (RuntimeException e) {
                System.err.println(measurement.name() + " failed: " + e);
                goalsMet = false;
            }
        }
        return goalsMet ? 0 : 1;
    }
}
