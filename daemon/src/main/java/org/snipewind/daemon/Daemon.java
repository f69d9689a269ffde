package org.snipewind.daemon;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Random;
import java.util.function.UnaryOperator;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.snipewind.clients.instances.HttpInstanceList;
import org.snipewind.clients.instances.InstanceList;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreCallLimiter;
import org.snipewind.clients.store.StoreCallObserver;
import org.snipewind.clients.store.TaskScheduler;
import org.snipewind.clients.store.ThrottledKeyValueStore;
import org.snipewind.clients.target.HttpTargetClient;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.daemon.fleet.FleetTimes;
import org.snipewind.daemon.log.LogFormat;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.settings.SettingsException;
import org.snipewind.daemon.settings.SettingsFile;
import org.snipewind.protocol.PeerSettings;
import org.snipewind.router.metrics.ProcessMetrics;

/** Entry point of the program {@code snipewindd}. */
public final class Daemon {

    /** Exit code if the settings or arguments are invalid. */
    public static final int EXIT_INVALID_SETTINGS = 2;

    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final int TARGET_CONNECTIONS = 16;
    private static final long TARGET_CONNECT_MILLIS = 500;

    private Daemon() {}

    /**
     * Runs the daemon until a signal stops it, or only validates the settings file.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("snipewindd")
                .build()
                .description("Router daemon for servers that own keys exclusively.")
                .epilog("Exit codes: 0 stopped by a signal or check passed, 2 invalid settings or arguments.");
        parser.addArgument("--settings").metavar("FILE").required(true).help("YAML settings file of this daemon");
        parser.addArgument("--check")
                .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
                .help("validate the settings file and exit");
        try {
            Namespace namespace = parser.parseArgs(arguments);
            String file = namespace.getString("settings");
            DaemonSettings settings = SettingsFile.read(Path.of(file));
            UnaryOperator<PeerSettings> peerOptions =
                    settings.tls().map(tls -> TlsOptions.read(file, tls)).orElse(UnaryOperator.identity());
            if (!namespace.getBoolean("check")) {
                run(settings, peerOptions);
            }
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(e instanceof net.sourceforge.argparse4j.helper.HelpScreenException ? 0 : EXIT_INVALID_SETTINGS);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        }
    }

    private static void run(DaemonSettings settings, UnaryOperator<PeerSettings> peerOptions) {
        LogFormat.apply(settings.textLog());
        ProcessMetrics metrics = new ProcessMetrics();
        DaemonRuntime runtime = new DaemonRuntime(
                settings,
                metrics,
                createStore(settings, metrics),
                target -> new HttpTargetClient(
                        target.address(), TARGET_CONNECTIONS, TARGET_CONNECT_MILLIS, FleetTimes.GRANT_LIFETIME_MILLIS),
                settings.instanceListAddress()
                        .<InstanceList>map(address -> new HttpInstanceList(address, STORE_TIMEOUT_MILLIS)),
                peerOptions);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutdownAndHalt(runtime), "shutdown"));
        runtime.start();
    }

    /** Shuts down and exits with code 0. Without the halt, the JVM would exit with code 143 after a SIGTERM. */
    private static void shutdownAndHalt(DaemonRuntime runtime) {
        runtime.shutdown();
        Runtime.getRuntime().halt(0);
    }

    private static KeyValueStore createStore(DaemonSettings settings, ProcessMetrics metrics) {
        KeyValueStore store = new HttpKeyValueStore(
                settings.storeAddresses(), settings.name(), STORE_TIMEOUT_MILLIS, countingObserver(metrics));
        return new ThrottledKeyValueStore(
                store, new StoreCallLimiter(new SystemMillisClock(), new Random()::nextDouble), TaskScheduler.system());
    }

    private static StoreCallObserver countingObserver(ProcessMetrics metrics) {
        return (kind, outcome) -> metrics.count("store." + wireName(kind) + "." + wireName(outcome));
    }

    private static String wireName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
