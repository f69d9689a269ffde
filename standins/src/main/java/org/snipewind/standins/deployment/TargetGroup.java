package org.snipewind.standins.deployment;

import java.util.Arrays;
import org.snipewind.standins.Standins;
import org.snipewind.standins.server.StandInServer;
import org.snipewind.standins.target.TargetStandIn;

/** Entry point that runs several targets in one process, because a process for each target takes about 170 MB. */
public final class TargetGroup {

    private TargetGroup() {}

    /**
     * Starts the targets and prints one ready line; the process runs until a signal ends it.
     *
     * @param arguments one specification for each target
     */
    public static void main(String[] arguments) {
        System.setProperty("logback.configurationFile", "standins-logback.xml");
        Arrays.stream(arguments)
                .parallel()
                .map(TargetSpecification::parse)
                .forEach(target -> StandInServer.start(new TargetStandIn(target.options()), target.port()));
        System.out.println(Standins.READY_PREFIX + arguments.length);
    }
}
