package org.snipewind.standins.deployment;

import java.util.List;
import org.snipewind.standins.target.TargetOptions;

/** Options and port of a target, which are passed to a process as one argument. */
record TargetSpecification(TargetOptions options, int port) {

    private static final String SEPARATOR = ",";

    String format() {
        return String.join(
                SEPARATOR,
                options.name(),
                String.valueOf(port),
                String.valueOf(options.slots()),
                String.valueOf(options.serviceMillis()),
                String.valueOf(options.coldStartConcurrency()),
                String.valueOf(options.coldStartResponses()),
                String.valueOf(options.outageMillis()),
                String.valueOf(options.checksTokens()),
                String.valueOf(options.healthLagMillis()),
                String.valueOf(options.loadLagMillis()));
    }

    static TargetSpecification parse(String argument) {
        List<String> fields = List.of(argument.split(SEPARATOR, -1));
        TargetOptions options = new TargetOptions(
                fields.get(0),
                Integer.parseInt(fields.get(2)),
                Long.parseLong(fields.get(3)),
                Integer.parseInt(fields.get(4)),
                Integer.parseInt(fields.get(5)),
                Long.parseLong(fields.get(6)),
                Boolean.parseBoolean(fields.get(7)),
                Long.parseLong(fields.get(8)),
                Long.parseLong(fields.get(9)));
        return new TargetSpecification(options, Integer.parseInt(fields.get(1)));
    }
}
