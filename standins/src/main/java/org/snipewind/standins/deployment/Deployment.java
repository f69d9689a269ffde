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
import org.snipewind.clients.transport.HttpAnswer;
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
 * A running deployment: the store and the list of instances in this process, targets and daemons in processes of their
 * own, all on the loopback address.
 */
public final class Deployment implements AutoCloseable {

    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int TARGET_HEAP_MEGABYTES = 256;
    private static final long CALL_MILLIS = 3_000;
    private static final long STORE_SEED = 1;
    private static final long POLL_MILLIS = 20;

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
        // The class path of tests holds a configuration of the log that hides the event by which the start is seen.
        daemonOptions.add("-Dlogback.configurationFile=logback.xml");
        daemonLauncher = new ProcessLauncher(daemonOptions, folder);
        transport = new HttpTransport(new HttpTransportSettings(64, CALL_MILLIS, 10_000, 30_000, 256 << 20));
        storeServer = StandInServer.start(store, 0);
        instanceServer = StandInServer.start(instanceList, 0);
        storeClient =
                new HttpKeyValueStore(List.of(storeServer.address()), "deployment", CALL_MILLIS, (kind, outcome) -> {});
        configurationStore = new ConfigurationStore(storeClient, System::currentTimeMillis);
        FreePorts ports = new FreePorts();
        DeploymentLayout layout = new DeploymentLayout(plan, ports);
        targets.putAll(layout.targets(transport));
        daemons.putAll(layout.daemons(folder, storeServer.address(), instanceServer.address()));
        Map<String, String> addresses = new TreeMap<>();
        targets.forEach((name, target) -> addresses.put(name, target.address()));
        configuration = SampleConfiguration.withAddresses(plan.configuration(), addresses);
    }

    /**
     * Starts a deployment, applies its configuration and waits until all daemons are ready.
     *
     * @param plan what it consists of
     * @return the running deployment
     */
    public static Deployment start(DeploymentPlan plan) {
        Deployment deployment = startWithoutDaemons(plan);
        try {
            deployment.apply(deployment.configuration(), "first revision");
            deployment.startDaemons();
            deployment.awaitReady(START_LIMIT);
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /**
     * Starts the stand-ins of a deployment without a configuration and without daemons.
     *
     * @param plan what it consists of
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
            throw new UncheckedIOException("the deployment has no folder", e);
        }
    }

    /** Starts all daemons and waits until their listeners are open. */
    public void startDaemons() {
        List<DaemonHandle> all = daemons();
        List<Runnable> starts = new ArrayList<>();
        for (int from = 0; from < all.size(); from += plan.daemonsPerProcess()) {
            List<DaemonHandle> group = all.subList(from, Math.min(all.size(), from + plan.daemonsPerProcess()));
            starts.add(() -> startDaemons(group));
        }
        ParallelTasks.run(starts);
        setInstanceStates(Map.of());
    }

    /**
     * Starts a daemon that does not run, on the addresses that it had before.
     *
     * @param name name of the instance
     */
    public void startDaemon(String name) {
        startDaemons(List.of(daemon(name)));
    }

    /**
     * Starts a separate target that does not run, on the address that it had before.
     *
     * @param name name of the target
     */
    public void startTarget(String name) {
        TargetHandle target = target(name);
        target.runs(startGroup(name, List.of(target)));
    }

    /**
     * Accepts a configuration as the next revision.
     *
     * @param next the configuration
     * @param note what the change is
     * @return number of the accepted revision
     */
    public long apply(FleetConfiguration next, String note) {
        long base = configurationStore
                .current()
                .map(ConfigurationRevision::revision)
                .orElse(0L);
        return configurationStore
                .accept(next, base, "deployment", note)
                .getOrElseThrow(failure -> new IllegalStateException(failure.detail()))
                .revision();
    }

    /**
     * Waits until all running daemons are ready.
     *
     * @param limit longest wait
     */
    public void awaitReady(Duration limit) {
        await(
                "readiness of all daemons",
                limit,
                () -> daemons.values().stream()
                        .filter(daemon -> daemon.process().isAlive())
                        .allMatch(this::isReady));
    }

    /**
     * Asks a daemon whether it is ready.
     *
     * @param daemon the daemon
     * @return true if it says so
     */
    public boolean isReady(DaemonHandle daemon) {
        return operators(daemon, "/-/ready")
                .map(answer -> answer.status() == 200)
                .orElse(false);
    }

    /**
     * Reads the status of a daemon.
     *
     * @param daemon the daemon
     * @return the status, or empty if it does not answer
     */
    public Optional<DaemonStatus> status(DaemonHandle daemon) {
        return operators(daemon, "/-/status").map(answer -> JsonCodec.decode(answer.body(), DaemonStatus.class));
    }

    /**
     * Reads the metrics of a daemon.
     *
     * @param daemon the daemon
     * @return value by metric name, empty if it does not answer
     */
    public Map<String, Object> metrics(DaemonHandle daemon) {
        return operators(daemon, "/-/metrics.json")
                .map(answer -> JsonCodec.decode(
                        answer.body(), io.micronaut.core.type.Argument.mapOf(String.class, Object.class)))
                .orElse(Map.of());
    }

    /**
     * Waits for a condition.
     *
     * @param description what is awaited, for the message of a failure
     * @param limit longest wait
     * @param condition the condition
     * @throws IllegalStateException if it does not hold in time
     */
    public static void await(String description, Duration limit, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(description + " did not come within " + limit);
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting for " + description, e);
            }
        }
    }

    /**
     * Cuts daemons off from the store; all others reach it.
     *
     * @param names names of the instances that are cut off
     */
    public void disconnectFromStore(Set<String> names) {
        store.setFaults(new StoreFaults(StoreFaults.Mode.NORMAL, 0, 0, names));
    }

    /**
     * Sets what the platform's list shows; daemons that are not named are live.
     *
     * @param states states that differ from live, by instance name
     */
    public void setInstanceStates(Map<String, InstanceState> states) {
        Map<String, InstanceState> all = new TreeMap<>();
        daemons.keySet().forEach(name -> all.put(name, InstanceState.LIVE));
        all.putAll(states);
        instanceList.setStates(all);
    }

    /**
     * Gives the plan.
     *
     * @return the plan
     */
    public DeploymentPlan plan() {
        return plan;
    }

    /**
     * Gives the first configuration with the real addresses of the targets.
     *
     * @return the configuration
     */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /**
     * Gives access to the revisions of the configuration.
     *
     * @return the revisions in the store
     */
    public ConfigurationStore configurationStore() {
        return configurationStore;
    }

    /**
     * Gives the store, for faults and reports.
     *
     * @return the store
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Gives a client of the store.
     *
     * @return the client, closed with the deployment
     */
    public KeyValueStore storeClient() {
        return storeClient;
    }

    /**
     * Gives the address of the store.
     *
     * @return host and port
     */
    public String storeAddress() {
        return storeServer.address();
    }

    /**
     * Gives the list of instances.
     *
     * @return the list
     */
    public InstanceListStandIn instanceList() {
        return instanceList;
    }

    /**
     * Gives the folder with the settings and logs of the processes.
     *
     * @return the folder, deleted when the deployment is closed
     */
    public Path folder() {
        return folder;
    }

    /**
     * Lists the daemons.
     *
     * @return the daemons in the order of their names
     */
    public List<DaemonHandle> daemons() {
        return List.copyOf(daemons.values());
    }

    /**
     * Finds a daemon.
     *
     * @param name name of the instance
     * @return the daemon
     */
    public DaemonHandle daemon(String name) {
        return daemons.get(name);
    }

    /**
     * Lists the targets.
     *
     * @return the targets
     */
    public List<TargetHandle> targets() {
        return List.copyOf(targets.values());
    }

    /**
     * Finds a target.
     *
     * @param name name of the target
     * @return the target
     */
    public TargetHandle target(String name) {
        return targets.get(name);
    }

    /** Ends all processes and deletes the folder. */
    @Override
    public void close() {
        daemonLauncher.close();
        targetLauncher.close();
        storeClient.close();
        transport.close();
        storeServer.close();
        instanceServer.close();
        try {
            SampleConfiguration.delete(folder);
        } catch (IOException e) {
            throw new UncheckedIOException("the folder of the deployment can't be deleted", e);
        }
    }

    private void startDaemons(List<DaemonHandle> group) {
        List<String> arguments = new ArrayList<>();
        boolean alone = plan.daemonsPerProcess() == 1;
        if (alone) {
            arguments.add("--settings");
        }
        group.forEach(daemon -> arguments.add(daemon.settings().toString()));
        ChildProcess process = daemonLauncher.start(
                group.get(0).name(),
                alone ? Daemon.class.getName() : DaemonGroup.class.getName(),
                arguments,
                line -> alone ? line.contains("daemon-started") : line.startsWith(Standins.READY_PREFIX));
        group.forEach(daemon -> daemon.runs(process));
    }

    private Optional<HttpAnswer> operators(DaemonHandle daemon, String path) {
        return transport
                .exchange(
                        "GET",
                        URI.create("http://" + daemon.operatorAddress() + path),
                        Map.of(),
                        new byte[0],
                        CALL_MILLIS)
                .<Optional<HttpAnswer>>handle((answer, failure) -> Optional.ofNullable(answer))
                .join();
    }

    private void startTargets() {
        List<Runnable> starts = new ArrayList<>();
        List<TargetHandle> shared = new ArrayList<>();
        for (TargetHandle target : targets.values()) {
            if (target.hasOwnProcess()) {
                starts.add(() -> startTarget(target.name()));
            } else {
                shared.add(target);
            }
        }
        for (int from = 0; from < shared.size(); from += plan.targetsPerProcess()) {
            List<TargetHandle> group = shared.subList(from, Math.min(shared.size(), from + plan.targetsPerProcess()));
            starts.add(() -> startGroup("targets-" + group.get(0).name(), group));
        }
        ParallelTasks.run(starts);
    }

    private ChildProcess startGroup(String name, List<TargetHandle> group) {
        return targetLauncher.start(
                name,
                TargetGroup.class.getName(),
                group.stream().map(target -> target.specification().format()).toList(),
                line -> line.startsWith(Standins.READY_PREFIX));
    }
}
