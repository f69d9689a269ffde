package org.snipewind.standins.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.standins.target.TargetOptions;

/** Assigns names, ports and settings files to the targets and daemons of a plan. */
final class DeploymentLayout {

    private final DeploymentPlan plan;
    private final FreePorts ports;

    DeploymentLayout(DeploymentPlan plan, FreePorts ports) {
        this.plan = plan;
        this.ports = ports;
    }

    Map<String, TargetHandle> createTargets(HttpTransport transport) {
        Map<String, TargetHandle> targets = new LinkedHashMap<>();
        TargetBehaviour behaviour = plan.behaviour();
        plan.configuration()
                .pools()
                .forEach((poolName, pool) -> pool.targets().forEach((name, settings) -> {
                    TargetOptions options = new TargetOptions(
                            name,
                            pool.slots(),
                            behaviour.serviceMillis(),
                            behaviour.coldStartConcurrency(),
                            behaviour.coldStartResponses(),
                            behaviour.outageMillis(),
                            pool.checksTokens(),
                            behaviour.healthLagMillis(),
                            behaviour.loadLagMillis());
                    targets.put(
                            name,
                            new TargetHandle(
                                    poolName,
                                    settings.dataCentre(),
                                    new TargetSpecification(options, ports.nextFreePort()),
                                    plan.targetsInOwnProcess().contains(name),
                                    transport));
                }));
        return targets;
    }

    Map<String, DaemonHandle> createDaemons(Path folder, String storeAddress, String instanceListAddress)
            throws IOException {
        Map<String, DaemonHandle> daemons = new LinkedHashMap<>();
        List<String> dataCentres =
                List.copyOf(plan.configuration().dataCentres().keySet());
        for (int index = 0; index < plan.daemonCount(); index++) {
            String name = String.format("entry-%02d", index + 1);
            String dataCentre = dataCentres.get(index % dataCentres.size());
            List<Integer> daemonPorts = List.of(ports.nextFreePort(), ports.nextFreePort(), ports.nextFreePort());
            Path settings = folder.resolve(name + ".yaml");
            Files.writeString(
                    settings,
                    DaemonSettingsWriter.toYaml(
                            name,
                            plan.configuration().dataCentres().get(dataCentre).region(),
                            dataCentre,
                            daemonPorts,
                            storeAddress,
                            instanceListAddress,
                            plan.policy()));
            String[] addresses =
                    daemonPorts.stream().map(port -> "127.0.0.1:" + port).toArray(String[]::new);
            daemons.put(name, new DaemonHandle(name, dataCentre, addresses, settings));
        }
        return daemons;
    }
}
