package org.snipewind.standins.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.instances.InstanceState;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.daemon.Daemon;
import org.snipewind.standins.Standins;
import org.snipewind.standins.instances.InstanceListStandIn;
import org.snipewind.standins.process.ChildProcess;
import org.snipewind.standins.process.ProcessLauncher;
import org.snipewind.standins.server.StandInServer;
import org.snipewind.standins.store.StoreFaults;
import org.snipewind.standins.store.StoreStandIn;

/**
 * A running deployment on the loopback address: the stand-ins for the store and the instance list in this process,
 * targets and daemons in child processes.
 */
public final class Deployment implements AutoCloseable {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int TARGET_HEAP_MEGABYTES = 256;
    private static final long REQUEST_TIMEOUT_MILLIS = 3_000;
    private static final long STORE_SEED = 1;
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final DeploymentPlan plan;
    private final Path folder;
    private final ProcessLauncher targetLauncher;
    private final ProcessLauncher daemonLauncher;
    private final HttpTransport transport;
    private final StoreStandIn store = new StoreStandIn(STORE_SEED);
    private final InstanceListStandIn instanceList = new InstanceListStandIn(new SystemMillisClock(), 0);
    private final StandInServer storeServer;
    private final StandInServer instanceServer;
    private final KeyValueStore storeClient;
    private final ConfigurationStore configurationStore;
    private final Map<String, TargetHandle> targets = new LinkedHashMap<>();
    private final Map<String, DaemonHandle> daemons = new LinkedHashMap<>();
    private final FleetConfiguration configuration;

    private Deployment(DeploymentPlan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("snipewind-deployment");
        targetLauncher = new ProcessLauncher(TARGET_HEAP_MEGABYTES, folder);
        List<String> daemonOptions = new ArrayList<>(plan.daemonJvmOptions());
        // The logging configuration on the class path of tests hides the event that shows that a daemon has started.
        daemonOptions.add("-Dlogback.configurationFile=logback.xml");
        daemonLauncher = new ProcessLauncher(daemonOptions, folder);
        transport = new HttpTransport(new HttpTransportSettings(64, REQUEST_TIMEOUT_MILLIS, 10_000, 30_000, 256 << 20));
        storeServer = StandInServer.start(store, 0);
        instanceServer = StandInServer.start(instanceList, 0);
        storeClient = new HttpKeyValueStore(
                List.of(storeServer.address()), "deployment", REQUEST_TIMEOUT_MILLIS, (kind, outcome) -> {});
        configurationStore = new ConfigurationStore(storeClient, System::currentTimeMillis);
        FreePorts ports = new FreePorts();
        DeploymentLayout layout = new DeploymentLayout(plan, ports);
        targets.putAll(layout.createTargets(transport));
        daemons.putAll(layout.createDaemons(folder, storeServer.address(), instanceServer.address()));
        Map<String, String> addresses = new TreeMap<>();
        targets.forEach((name, target) -> addresses.put(name, target.address()));
        configuration = SampleConfiguration.withAddresses(plan.configuration(), addresses);
    }

    /**
     * Starts a deployment, applies its configuration and waits until all daemons are ready.
     *
     * @param plan plan of the deployment
     * @return the running deployment
     */
    public static Deployment start(DeploymentPlan plan) {
        Deployment deployment = startWithoutDaemons(plan);
        try {
            deployment.apply(deployment.configuration(), "first revision");
            deployment.startDaemons();
            deployment.awaitReady(START_TIMEOUT);
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /**
     * Starts the stand-ins of a deployment, without applying a configuration and without daemons.
     *
     * @param plan plan of the deployment
     * @return the deployment
     */
    public static Deployment startWithoutDaemons(DeploymentPlan plan) {
        try {
            Deployment deployment = new Deployment(plan);
            try {
                deployment.startTargets();
                return deployment;
            } catch (RuntimeException e) {
                deployment.close();
                throw e;
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the folder of the deployment can't be created", e);
        }
    }

    /** Starts all daemons and waits until their listeners are open. */
    public void startDaemons() {
        List<DaemonHandle> allDaemons = daemons();
        List<Runnable> startTasks = new ArrayList<>();
        for (int from = 0; from < allDaemons.size(); from += plan.daemonsPerProcess()) {
            List<DaemonHandle> group =
                    allDaemons.subList(from, Math.min(allDaemons.size(), from + plan.daemonsPerProcess()));
            startTasks.add(() -> startDaemons(group));
        }
        ParallelTasks.runAll(startTasks);
        setInstanceStates(Map.of());
    }

    /**
     * Restarts a daemon whose process has exited, with its previous addresses.
     *
     * @param name name of the instance
     */
    public void startDaemon(String name) {
        startDaemons(List.of(daemon(name)));
    }

    /**
     * Restarts a target whose own process has exited, with its previous address.
     *
     * @param name name of the target
     */
    public void startTarget(String name) {
        TargetHandle target = target(name);
        target.setProcess(startTargetGroup(name, List.of(target)));
    }

    /**
     * Applies a configuration as the next revision.
     *
     * @param newConfiguration the configuration
     * @param note description of the change
     * @return number of the accepted revision
     */
    public long apply(FleetConfiguration newConfiguration, String note) {
        long baseRevision = configurationStore
                .current()
                .map(ConfigurationRevision::revision)
                .orElse(0L);
        return configurationStore
                .accept(newConfiguration, baseRevision, "deployment", note)
                .getOrElseThrow(failure -> new IllegalStateException(failure.detail()))
                .revision();
    }

    /**
     * Waits until all running daemons are ready.
     *
     * @param timeout maximum wait
     */
    public void awaitReady(Duration timeout) {
        await(
                "readiness of all daemons",
                timeout,
                () -> daemons.values().stream()
                        .filter(daemon -> daemon.process().isAlive())
                        .allMatch(this::isReady));
    }

    /**
     * Returns whether a daemon reports that it is ready.
     *
     * @param daemon the daemon
     * @return true if it responds and is ready
     */
    public boolean isReady(DaemonHandle daemon) {
        return operatorRequest(daemon, "/-/ready")
                .map(response -> response.status() == 200)
                .orElse(false);
    }

    /**
     * Fetches the status of a daemon.
     *
     * @param daemon the daemon
     * @return the status, or empty if it does not respond
     */
    public Optional<DaemonStatus> status(DaemonHandle daemon) {
        return operatorRequest(daemon, "/-/status")
                .map(response -> JsonCodec.decode(response.body(), DaemonStatus.class));
    }

    /**
     * Fetches the metrics of a daemon.
     *
     * @param daemon the daemon
     * @return value by metric name, empty if it does not respond
     */
    public Map<String, Object> metrics(DaemonHandle daemon) {
        return operatorRequest(daemon, "/-/metrics.json")
                .map(response -> JsonCodec.decode(
                        response.body(), io.micronaut.core.type.Argument.mapOf(String.class, Object.class)))
                .orElse(Map.of());
    }

    /**
     * Waits until a condition is met.
     *
     * @param description name of the condition for the error message
     * @param timeout maximum wait
     * @param condition the condition
     * @throws IllegalStateException if it is not met in time
     */
    public static void await(String description, Duration timeout, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(description + " was not reached within " + timeout);
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting for " + description, e);
            }
        }
    }

    /**
     * Disconnects daemons from the store and connects all others.
     *
     * @param names names of the instances to disconnect, empty to connect all
     */
    public void disconnectFromStore(Set<String> names) {
        store.setFaults(new StoreFaults(StoreFaults.Mode.NORMAL, 0, 0, names));
    }

    /**
     * Sets the states in the platform's instance list; daemons that are not named are live.
     *
     * @param states states that differ from live, by instance name
     */
    public void setInstanceStates(Map<String, InstanceState> states) {
        Map<String, InstanceState> allStates = new TreeMap<>();
        daemons.keySet().forEach(name -> allStates.put(name, InstanceState.LIVE));
        allStates.putAll(states);
        instanceList.setStates(allStates);
    }

    /**
     * Returns the plan of the deployment.
     *
     * @return the plan
     */
    public DeploymentPlan plan() {
        return plan;
    }

    /**
     * Returns the initial configuration, with the actual addresses of the targets.
     *
     * @return the configuration
     */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns the revisions of the configuration.
     *
     * @return access to the revisions in the store
     */
    public ConfigurationStore configurationStore() {
        return configurationStore;
    }

    /**
     * Returns the stand-in for the store, to set its faults and read its report.
     *
     * @return the store
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns a client of the store.
     *
     * @return the client, closed with the deployment
     */
    public KeyValueStore storeClient() {
        return storeClient;
    }

    /**
     * Returns the address of the store.
     *
     * @return host and port
     */
    public String storeAddress() {
        return storeServer.address();
    }

    /**
     * Returns the stand-in for the instance list.
     *
     * @return the instance list
     */
    public InstanceListStandIn instanceList() {
        return instanceList;
    }

    /**
     * Returns the folder with the settings and logs of the processes.
     *
     * @return the folder, deleted when the deployment is closed
     */
    public Path folder() {
        return folder;
    }

    /**
     * Returns all daemons.
     *
     * @return the daemons in the order of their names
     */
    public List<DaemonHandle> daemons() {
        return List.copyOf(daemons.values());
    }

    /**
     * Returns a daemon.
     *
     * @param name name of the instance
     * @return the daemon, or null if there is none of this name
     */
    public DaemonHandle daemon(String name) {
        return daemons.get(name);
    }

    /**
     * Returns all targets.
     *
     * @return the targets
     */
    public List<TargetHandle> targets() {
        return List.copyOf(targets.values());
    }

    /**
     * Returns a target.
     *
     * @param name name of the target
     * @return the target, or null if there is none of this name
     */
    public TargetHandle target(String name) {
        return targets.get(name);
    }

    /** Kills all processes, stops the stand-ins and deletes the folder. */
    @Override
    public void close() {
        daemonLauncher.close();
        targetLauncher.close();
        storeClient.close();
        transport.close();
        storeServer.close();
        instanceServer.close();
        try {
            SampleConfiguration.deleteFolder(folder);
        } catch (IOException e) {
            throw new UncheckedIOException("the folder of the deployment can't be deleted", e);
        }
    }

    private void startDaemons(List<DaemonHandle> group) {
        List<String> arguments = new ArrayList<>();
        boolean isSingle = plan.daemonsPerProcess() == 1;
        if (isSingle) {
            arguments.add("--settings");
        }
        group.forEach(daemon -> arguments.add(daemon.settings().toString()));
        ChildProcess process = daemonLauncher.start(
                group.get(0).name(),
                isSingle ? Daemon.class.getName() : DaemonGroup.class.getName(),
                arguments,
                line -> isSingle ? line.contains("daemon-started") : line.startsWith(Standins.READY_PREFIX));
        group.forEach(daemon -> daemon.setProcess(process));
    }

    private Optional<BufferedResponse> operatorRequest(DaemonHandle daemon, String path) {
        return transport
                .exchange(
                        "GET",
                        URI.create("http://" + daemon.operatorAddress() + path),
                        Map.of(),
                        new byte[0],
                        REQUEST_TIMEOUT_MILLIS)
                .<Optional<BufferedResponse>>handle((response, failure) -> Optional.ofNullable(response))
                .join();
    }

    private void startTargets() {
        List<Runnable> startTasks = new ArrayList<>();
        List<TargetHandle> sharedProcessTargets = new ArrayList<>();
        for (TargetHandle target : targets.values()) {
            if (target.hasOwnProcess()) {
                startTasks.add(() -> startTarget(target.name()));
            } else {
                sharedProcessTargets.add(target);
            }
        }
        for (int from = 0; from < sharedProcessTargets.size(); from += plan.targetsPerProcess()) {
            List<TargetHandle> group = sharedProcessTargets.subList(
                    from, Math.min(sharedProcessTargets.size(), from + plan.targetsPerProcess()));
            startTasks.add(() -> startTargetGroup("targets-" + group.get(0).name(), group));
        }
        ParallelTasks.runAll(startTasks);
    }

    private ChildProcess startTargetGroup(String name, List<TargetHandle> group) {
        return targetLauncher.start(
                name,
                TargetGroup.class.getName(),
                group.stream().map(target -> target.specification().format()).toList(),
                line -> line.startsWith(Standins.READY_PREFIX));
    }
}
