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
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.standins.instances.InstanceListStandIn;
import org.snipewind.standins.server.StandInHandler;
import org.snipewind.standins.server.StandInServer;
import org.snipewind.standins.store.StoreStandIn;
import org.snipewind.standins.target.TargetOptions;
import org.snipewind.standins.target.TargetStandIn;

/** Entry point that runs one stand-in as a process. */
public final class Standins {

    /** Prefix of the line that a process prints to standard output when it is ready; a stand-in appends its address. */
    public static final String READY_PREFIX = "ready ";

    private static final String LOGGING_PROPERTY = "logback.configurationFile";
    private static final long FIRST_RESPONSE_TIMEOUT_MILLIS = 10_000;

    private Standins() {}

    /**
     * Starts a stand-in and prints its ready line; the process runs until a signal ends it.
     *
     * @param arguments kind of stand-in and its options
     */
    public static void main(String[] arguments) {
        if (System.getProperty(LOGGING_PROPERTY) == null) {
            System.setProperty(LOGGING_PROPERTY, "standins-logback.xml");
        }
        ArgumentParser parser = createParser();
        try {
            Namespace namespace = parser.parseArgs(arguments);
            StandInServer server = StandInServer.start(createStandIn(namespace), namespace.getInt("port"));
            awaitFirstResponse(server);
            System.out.println(READY_PREFIX + server.address());
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(e instanceof HelpScreenException ? 0 : 2);
        }
    }

    // The first request to a new process takes several hundred milliseconds, which callers would take for a fault.
    private static void awaitFirstResponse(StandInServer server) {
        try (HttpTransport transport = new HttpTransport(
                HttpTransportSettings.of(1, FIRST_RESPONSE_TIMEOUT_MILLIS, FIRST_RESPONSE_TIMEOUT_MILLIS))) {
            URI control = URI.create("http://" + server.address() + "/control");
            BufferedResponse response = transport
                    .exchange("GET", control, Map.of(), new byte[0], FIRST_RESPONSE_TIMEOUT_MILLIS)
                    .join();
            if (response.status() >= 500) {
                throw new IllegalStateException(
                        "the first request to the stand-in failed with status " + response.status());
            }
        }
    }

    private static StandInHandler createStandIn(Namespace namespace) {
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

    private static ArgumentParser createParser() {
        ArgumentParser parser = ArgumentParsers.newFor("standins").build().description("Runs one stand-in.");
        Subparsers kinds = parser.addSubparsers().dest("kind").title("kinds of stand-ins");
        Subparser store = addKind(kinds, "store", "the platform's key-value service");
        addOption(store, "--seed", Long.class, 1L, "seed for choosing the responses that are lost");
        Subparser instances = addKind(kinds, "instances", "the platform's instance list");
        addOption(instances, "--lag-millis", Long.class, 0L, "milliseconds until a change becomes visible");
        Subparser target = addKind(kinds, "target", "a target");
        target.addArgument("--name").required(true).help("name of the target");
        addOption(target, "--slots", Integer.class, 2, "number of requests that run concurrently");
        addOption(
                target,
                "--service-millis",
                Long.class,
                5L,
                "service time in milliseconds of a request that states none");
        addOption(
                target,
                "--cold-concurrency",
                Integer.class,
                Integer.MAX_VALUE,
                "requests in progress that it can take in cold start");
        addOption(target, "--cold-answers", Integer.class, 0, "responses after which the cold start ends");
        addOption(
                target,
                "--fall-millis",
                Long.class,
                2_000L,
                "milliseconds for which it drops all requests after an overload in cold start");
        addOption(target, "--health-lag-millis", Long.class, 0L, "age in milliseconds of the reported health");
        addOption(target, "--load-lag-millis", Long.class, 0L, "age in milliseconds of the reported load");
        target.addArgument("--ignores-tokens").action(Arguments.storeTrue()).help("accept requests without a grant");
        return parser;
    }

    private static Subparser addKind(Subparsers kinds, String name, String help) {
        Subparser kind = kinds.addParser(name).help(help);
        addOption(kind, "--port", Integer.class, 0, "TCP port on the loopback address, 0 for a free one");
        return kind;
    }

    private static <T> void addOption(Subparser parser, String name, Class<T> type, T defaultValue, String help) {
        parser.addArgument(name).type(type).setDefault(defaultValue).help(help + " (default " + defaultValue + ")");
    }
}
