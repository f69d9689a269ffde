package org.snipewind.standins.deployment;

import java.util.List;
import java.util.Set;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.daemon.settings.PolicySettings;

/**
 * What a deployment consists of.
 *
 * @param configuration configuration that is applied; the addresses of its targets are replaced
 * @param daemonCount number of daemons, spread over the data centres in turn
 * @param targetsInOwnProcess targets that run in processes of their own
 * @param targetsPerProcess how many of the other targets share a process
 * @param behaviour behaviour of the targets
 * @param policy variants of mechanisms of the daemons
 * @param daemonJvmOptions options of the virtual machine of each daemon process
 * @param daemonsPerProcess how many daemons share a process; one that shares can't be killed or paused alone
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

    /** Name of the deployment of the casting business. */
    public static final String VOCES_DEL_PLATA = "voces-del-plata";

    /** Name of the deployment of the water delivery business. */
    public static final String JALSETU = "jalsetu";

    // With the first compiler only, nine daemons start in a few seconds of processor time.
    private static final List<String> SMALL_PROCESS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final List<String> OPTIMISED_PROCESS = List.of("-Xmx128m", "-XX:+UseSerialGC");
    private static final int DAEMONS = 9;
    private static final int TARGETS_PER_PROCESS = 12;
    private static final double QUICK_START_FACTOR = 0.4;

    /** Copies the collections. */
    public DeploymentPlan {
        targetsInOwnProcess = Set.copyOf(targetsInOwnProcess);
        daemonJvmOptions = List.copyOf(daemonJvmOptions);
    }

    /**
     * Creates the plan of a sample deployment with nine daemons.
     *
     * @param name name of the sample
     * @param factor share of the targets of each pool
     * @return the plan
     */
    public static DeploymentPlan of(String name, double factor) {
        return of(SampleConfiguration.withTargetRatio(SampleConfiguration.read(name), factor));
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
                DAEMONS,
                Set.of(),
                TARGETS_PER_PROCESS,
                TargetBehaviour.withoutColdStart(5),
                PolicySettings.DEFAULT,
                SMALL_PROCESS,
                1);
    }

    /**
     * Creates the small plan of the quick start, in which one target that owns keys can be killed.
     *
     * @return the plan
     */
    public static DeploymentPlan quickStart() {
        return of(VOCES_DEL_PLATA, QUICK_START_FACTOR).withTargetsInOwnProcess(Set.of("reelteca-1"));
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
     * Chooses the targets that run in processes of their own and so can be killed and paused alone.
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
     * Replaces the variants of mechanisms of the daemons.
     *
     * @param value variants of mechanisms
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
     * Lets the daemons use all compilers of the virtual machine, as measurements of speed need.
     *
     * @return the changed plan
     */
    public DeploymentPlan withOptimisingCompiler() {
        return new DeploymentPlan(
                configuration,
                daemonCount,
                targetsInOwnProcess,
                targetsPerProcess,
                behaviour,
                policy,
                OPTIMISED_PROCESS,
                daemonsPerProcess);
    }

    /**
     * Lets several daemons share a process, because a process of its own for each takes about 170 MB.
     *
     * @param value daemons of a process
     * @param heapMegabytes largest heap of a process
     * @return the changed plan
     */
    public DeploymentPlan withDaemonsPerProcess(int value, int heapMegabytes) {
        List<String> options = List.of("-Xmx" + heapMegabytes + "m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
        return new DeploymentPlan(
                configuration, daemonCount, targetsInOwnProcess, targetsPerProcess, behaviour, policy, options, value);
    }
}
