package org.snipewind.standins;

import java.net.URI;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.standins.instances.InstanceListStandIn;
import org.snipewind.standins.server.StandInHandler;
import org.snipewind.standins.server.StandInServer;
import org.snipewind.standins.store.StoreStandIn;
import org.snipewind.standins.target.TargetOptions;
import org.snipewind.standins.target.TargetStandIn;

/** Runs one stand-in as a process. */
public final class Standins {

    /** Start of the line on standard output that is followed by the address of a running stand-in. */
    public static final String READY_PREFIX = "ready ";

    private static final String LOGGING_PROPERTY = "logback.configurationFile";
    private static final long FIRST_ANSWER_MILLIS = 10_000;

    private Standins() {}

    /**
     * Starts a stand-in and prints its ready line; the process ends by a signal.
     *
     * @param arguments kind of the stand-in and its options
     */
    public static void main(String[] arguments) {
        if (System.getProperty(LOGGING_PROPERTY) == null) {
            System.setProperty(LOGGING_PROPERTY, "standins-logback.xml");
        }
        ArgumentParser parser = parser();
        try {
            Namespace namespace = parser.parseArgs(arguments);
            StandInServer server = StandInServer.start(standIn(namespace), namespace.getInt("port"));
            awaitFirstAnswer(server);
            System.out.println(READY_PREFIX + server.address());
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(e instanceof HelpScreenException ? 0 : 2);
        }
    }

    // The first request of a fresh process takes several hundred milliseconds, which callers would take for a fault.
    private static void awaitFirstAnswer(StandInServer server) {
        try (HttpTransport transport =
                new HttpTransport(HttpTransportSettings.of(1, FIRST_ANSWER_MILLIS, FIRST_ANSWER_MILLIS))) {
            URI control = URI.create("http://" + server.address() + "/control");
            HttpAnswer answer = transport
                    .exchange("GET", control, Map.of(), new byte[0], FIRST_ANSWER_MILLIS)
                    .join();
            if (answer.status() >= 500) {
                throw new IllegalStateException("the stand-in answered with status " + answer.status());
            }
        }
    }

    private static StandInHandler standIn(Namespace namespace) {
        return switch (namespace.getString("kind")) {
            case "store" -> new StoreStandIn(namespace.getLong("seed"));
            case "instances" -> new InstanceListStandIn(new SystemMillisClock(), namespace.getLong("lag_millis"));
            default ->
                new TargetStandIn(new TargetOptions(
                        namespace.getString("name"),
                        namespace.getInt("slots"),
                        namespace.getLong("service_millis"),
                        namespace.getInt("cold_concurrency"),
                        namespace.getInt("cold_answers"),
                        namespace.getLong("fall_millis"),
                        !namespace.getBoolean("ignores_tokens"),
                        namespace.getLong("health_lag_millis"),
                        namespace.getLong("load_lag_millis")));
        };
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("standins").build().description("Runs one stand-in.");
        Subparsers kinds = parser.addSubparsers().dest("kind").title("kinds of stand-ins");
        Subparser store = kind(kinds, "store", "the platform's key-value service");
        option(store, "--seed", Long.class, 1L, "seed of the choice of lost answers");
        Subparser instances = kind(kinds, "instances", "the platform's list of instances");
        option(instances, "--lag-millis", Long.class, 0L, "time after which a change is shown");
        Subparser target = kind(kinds, "target", "a target");
        target.addArgument("--name").required(true).help("name of the target");
        option(target, "--slots", Integer.class, 2, "requests that it runs at a time");
        option(target, "--service-millis", Long.class, 5L, "service time of a request that states none");
        option(target, "--cold-concurrency", Integer.class, Integer.MAX_VALUE, "requests that it bears while cold");
        option(target, "--cold-answers", Integer.class, 0, "answers after which it is warm");
        option(target, "--fall-millis", Long.class, 2_000L, "time for which it refuses everything after it fell over");
        option(target, "--health-lag-millis", Long.class, 0L, "age of what the health endpoint says");
        option(target, "--load-lag-millis", Long.class, 0L, "age of what the load endpoint says");
        target.addArgument("--ignores-tokens").action(Arguments.storeTrue()).help("accept requests without a grant");
        return parser;
    }

    private static Subparser kind(Subparsers kinds, String name, String help) {
        Subparser kind = kinds.addParser(name).help(help);
        option(kind, "--port", Integer.class, 0, "TCP port on the loopback address, 0 for a free one");
        return kind;
    }

    private static <T> void option(Subparser parser, String name, Class<T> type, T defaultValue, String help) {
        parser.addArgument(name).type(type).setDefault(defaultValue).help(help + " (default " + defaultValue + ")");
    }
}
