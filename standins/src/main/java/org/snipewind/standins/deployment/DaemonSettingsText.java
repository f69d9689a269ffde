package org.snipewind.standins.deployment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.daemon.settings.PolicySettings;
import org.yaml.snakeyaml.Yaml;

/** Writes settings of daemons. */
final class DaemonSettingsText {

    static final String SECRET = "loopback-deployment-secret";

    private DaemonSettingsText() {}

    static String write(
            String name,
            String region,
            String dataCentre,
            List<Integer> ports,
            String store,
            String instances,
            PolicySettings policy) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("name", name);
        settings.put("region", region);
        settings.put("dataCentre", dataCentre);
        settings.put("callers", endpoint(ports.get(0)));
        settings.put("operators", endpoint(ports.get(1)));
        settings.put("peers", endpoint(ports.get(2)));
        settings.put("secret", SECRET);
        settings.put("store", Map.of("addresses", List.of(store)));
        settings.put("instanceList", instances);
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
