package org.snipewind.standins.deployment;

import java.util.List;
import java.util.Set;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.daemon.settings.PolicySettings;

/**
 * The configuration, targets and daemons of a deployment.
 *
 * @param configuration configuration to apply; the addresses of its targets are replaced
 * @param daemonCount number of daemons, distributed round-robin over the data centres
 * @param targetsInOwnProcess targets that run in processes of their own
 * @param targetsPerProcess number of other targets that share a process
 * @param behaviour behaviour of the targets
 * @param policy switches of the mechanisms of the daemons
 * @param daemonJvmOptions options of the virtual machine of each daemon process
 * @param daemonsPerProcess number of daemons that share a process; if more than one, none can be killed or paused alone
 */
public record DeploymentPlan(
        FleetConfiguration configuration,
        int daemonCount,
        Set<String> targetsInOwnProcess,
        int targetsPerProcess,
        TargetBehaviour behaviour,
        PolicySettings policy,
        List<String> daemonJvmOptions,
        int daemonsPerProcess) {

    /** Name of the sample deployment of a casting business. */
    public static final String VOCES_DEL_PLATA = "voces-del-plata";

    /** Name of the sample deployment of a water delivery business. */
    public static final String JALSETU = "jalsetu";

    // With the C1 compiler only, nine daemons start within a few seconds of CPU time.
    private static final List<String> FAST_START_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final List<String> OPTIMISING_COMPILER_OPTIONS = List.of("-Xmx128m", "-XX:+UseSerialGC");
    private static final int DAEMON_COUNT = 9;
    private static final int TARGETS_PER_PROCESS = 12;
    private static final double QUICK_START_TARGET_RATIO = 0.4;

    /** Copies the collections, so that the plan is immutable. */
    public DeploymentPlan {
        targetsInOwnProcess = Set.copyOf(targetsInOwnProcess);
        daemonJvmOptions = List.copyOf(daemonJvmOptions);
    }

    /**
     * Creates the plan of a sample deployment with nine daemons.
     *
     * @param name name of the sample
     * @param targetRatio fraction of the targets of each pool that is kept
     * @return the plan
     */
    public static DeploymentPlan of(String name, double targetRatio) {
        return of(SampleConfiguration.withTargetRatio(SampleConfiguration.read(name), targetRatio));
    }

    /**
     * Creates the plan of a configuration with nine daemons.
     *
     * @param configuration the configuration
     * @return the plan
     */
    public static DeploymentPlan of(FleetConfiguration configuration) {
        return new DeploymentPlan(
                configuration,
                DAEMON_COUNT,
                Set.of(),
                TARGETS_PER_PROCESS,
                TargetBehaviour.withoutColdStart(5),
                PolicySettings.DEFAULT,
                FAST_START_OPTIONS,
                1);
    }

    /**
     * Creates the small plan of the quick start, in which one target that owns keys can be killed and paused alone.
     *
     * @return the plan
     */
    public static DeploymentPlan quickStart() {
        return of(VOCES_DEL_PLATA, QUICK_START_TARGET_RATIO).withTargetsInOwnProcess(Set.of("reelteca-1"));
    }

    /**
     * Replaces the configuration.
     *
     * @param value the configuration
     * @return the changed plan
     */
    public DeploymentPlan withConfiguration(FleetConfiguration value) {
        return new DeploymentPlan(
                value,
                daemonCount,
                targetsInOwnProcess,
                targetsPerProcess,
                behaviour,
                policy,
                daemonJvmOptions,
                daemonsPerProcess);
    }

    /**
     * Replaces the number of daemons.
     *
     * @param value number of daemons
     * @return the changed plan
     */
    public DeploymentPlan withDaemonCount(int value) {
        return new DeploymentPlan(
                configuration,
                value,
                targetsInOwnProcess,
                targetsPerProcess,
                behaviour,
                policy,
                daemonJvmOptions,
                daemonsPerProcess);
    }

    /**
     * Replaces the set of targets that run in processes of their own and so can be killed and paused alone.
     *
     * @param value names of the targets
     * @return the changed plan
     */
    public DeploymentPlan withTargetsInOwnProcess(Set<String> value) {
        return new DeploymentPlan(
                configuration,
                daemonCount,
                value,
                targetsPerProcess,
                behaviour,
                policy,
                daemonJvmOptions,
                daemonsPerProcess);
    }

    /**
     * Replaces the behaviour of the targets.
     *
     * @param value behaviour of the targets
     * @return the changed plan
     */
    public DeploymentPlan withBehaviour(TargetBehaviour value) {
        return new DeploymentPlan(
                configuration,
                daemonCount,
                targetsInOwnProcess,
                targetsPerProcess,
                value,
                policy,
                daemonJvmOptions,
                daemonsPerProcess);
    }

    /**
     * Replaces the switches of the mechanisms of the daemons.
     *
     * @param value switches of the mechanisms
     * @return the changed plan
     */
    public DeploymentPlan withPolicy(PolicySettings value) {
        return new DeploymentPlan(
                configuration,
                daemonCount,
                targetsInOwnProcess,
                targetsPerProcess,
                behaviour,
                value,
                daemonJvmOptions,
                daemonsPerProcess);
    }

    /**
     * Lets the daemons use the optimising compiler (C2) too, which measurements of speed need.
     *
     * @return the changed plan
     */
    public DeploymentPlan withOptimisingCompiler() {
        return withDaemonJvmOptions(OPTIMISING_COMPILER_OPTIONS);
    }

    /**
     * Replaces the options of the virtual machine of each daemon process.
     *
     * @param options the options
     * @return the changed plan
     */
    public DeploymentPlan withDaemonJvmOptions(List<String> options) {
        return new DeploymentPlan(
                configuration,
                daemonCount,
                targetsInOwnProcess,
                targetsPerProcess,
                behaviour,
                policy,
                options,
                daemonsPerProcess);
    }

    /**
     * Lets several daemons share a process, because a process for each daemon takes about 170 MB.
     *
     * @param value number of daemons in each process
     * @param heapMegabytes maximum heap size of each process
     * @return the changed plan
     */
    public DeploymentPlan withDaemonsPerProcess(int value, int heapMegabytes) {
        List<String> options = List.of("-Xmx" + heapMegabytes + "m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
        return new DeploymentPlan(
                configuration, daemonCount, targetsInOwnProcess, targetsPerProcess, behaviour, policy, options, value);
    }
}
