package org.snipewind.standins.deployment;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.snipewind.clients.instances.HttpInstanceList;
import org.snipewind.clients.instances.InstanceList;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreCallLimiter;
import org.snipewind.clients.store.TaskScheduler;
import org.snipewind.clients.store.ThrottledKeyValueStore;
import org.snipewind.clients.target.HttpTargetClient;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.daemon.DaemonRuntime;
import org.snipewind.daemon.fleet.FleetTimes;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.settings.SettingsFile;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.standins.Standins;

/** Entry point that runs several daemons in one process; frames between them still pass through loopback sockets. */
public final class DaemonGroup {

    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final int TARGET_CONNECTIONS = 16;
    private static final long TARGET_CONNECT_TIMEOUT_MILLIS = 500;

    private DaemonGroup() {}

    /**
     * Starts the daemons and prints one ready line; the process runs until a signal ends it.
     *
     * @param arguments paths of the settings files, one for each daemon
     */
    public static void main(String[] arguments) {
        System.setProperty("snipewind.log.format", "text");
        for (String file : arguments) {
            createRuntime(SettingsFile.read(Path.of(file))).start();
        }
        System.out.println(Standins.READY_PREFIX + arguments.length);
    }

    private static DaemonRuntime createRuntime(DaemonSettings settings) {
        ProcessMetrics metrics = new ProcessMetrics();
        KeyValueStore store = new ThrottledKeyValueStore(
                new HttpKeyValueStore(
                        settings.storeAddresses(),
                        settings.name(),
                        REQUEST_TIMEOUT_MILLIS,
                        (kind, outcome) -> metrics.count("store." + kind.name().toLowerCase(Locale.ROOT))),
                new StoreCallLimiter(new SystemMillisClock(), new Random()::nextDouble),
                TaskScheduler.system());
        Optional<InstanceList> instances =
                settings.instanceListAddress().map(address -> new HttpInstanceList(address, REQUEST_TIMEOUT_MILLIS));
        return new DaemonRuntime(
                settings,
                metrics,
                store,
                target -> new HttpTargetClient(
                        target.address(),
                        TARGET_CONNECTIONS,
                        TARGET_CONNECT_TIMEOUT_MILLIS,
                        FleetTimes.GRANT_LIFETIME_MILLIS),
                instances,
                UnaryOperator.identity());
    }
}
