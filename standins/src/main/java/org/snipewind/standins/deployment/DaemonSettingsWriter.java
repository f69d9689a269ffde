package org.snipewind.standins.deployment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.daemon.settings.PolicySettings;
import org.yaml.snakeyaml.Yaml;

/** Writes the settings files of daemons. */
final class DaemonSettingsWriter {

    static final String SECRET = "loopback-deployment-secret";

    private DaemonSettingsWriter() {}

    static String toYaml(
            String name,
            String region,
            String dataCentre,
            List<Integer> ports,
            String storeAddress,
            String instanceListAddress,
            PolicySettings policy) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("name", name);
        settings.put("region", region);
        settings.put("dataCentre", dataCentre);
        settings.put("callers", endpoint(ports.get(0)));
        settings.put("operators", endpoint(ports.get(1)));
        settings.put("peers", endpoint(ports.get(2)));
        settings.put("secret", SECRET);
        settings.put("store", Map.of("addresses", List.of(storeAddress)));
        settings.put("instanceList", instanceListAddress);
        settings.put(
                "policy",
                Map.of(
                        "hedging", policy.hedging(),
                        "loadAwareChoice", policy.loadAwareChoice(),
                        "coldStartRamp", policy.coldStartRamp(),
                        "fairQueueing", policy.fairQueueing(),
                        "sharedBudget", policy.sharedBudget()));
        settings.put("log", Map.of("format", "text"));
        return new Yaml().dump(settings);
    }

    private static Map<String, Object> endpoint(int port) {
        return Map.of("host", "127.0.0.1", "port", port);
    }
}
