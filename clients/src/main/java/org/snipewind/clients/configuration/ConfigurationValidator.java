package org.snipewind.clients.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks that the fields of a configuration are consistent with each other and reports each problem at its line. */
final class ConfigurationValidator {

    private final FleetConfiguration configuration;
    private final YamlNode root;
    private final List<ConfigurationProblem> problems;

    ConfigurationValidator(FleetConfiguration configuration, YamlNode root, List<ConfigurationProblem> problems) {
        this.configuration = configuration;
        this.root = root;
        this.problems = problems;
    }

    void validate() {
        checkTargets();
        checkRoutes();
        checkKeys();
    }

    private void checkTargets() {
        Map<String, String> pathByName = new HashMap<>();
        Map<String, String> pathByAddress = new HashMap<>();
        configuration
                .pools()
                .forEach((pool, settings) -> settings.targets().forEach((name, target) -> {
                    String path = "pools." + pool + ".targets." + name;
                    String other = pathByName.putIfAbsent(name, path);
                    if (other != null) {
                        report(path, "the target name is already at " + other + ", expected one name for one target");
                    }
                    String sameAddress = pathByAddress.putIfAbsent(target.address(), path);
                    if (sameAddress != null && !target.address().isEmpty()) {
                        report(
                                path + ".address",
                                "the address is already at " + sameAddress + ", expected one target for an address");
                    }
                    if (!target.dataCentre().isEmpty()) {
                        checkExists(
                                path + ".dataCentre", "data centre", target.dataCentre(), configuration.dataCentres());
                    }
                }));
    }

    private void checkRoutes() {
        Map<String, String> nameByPath = new HashMap<>();
        configuration.routes().forEach((name, route) -> {
            String path = "routes." + name;
            String other = nameByPath.putIfAbsent(route.path(), name);
            if (other != null && !route.path().isEmpty()) {
                report(path + ".path", "route " + other + " has the same path, expected a path of its own");
            }
            if (!route.pool().isEmpty()) {
                checkExists(path + ".pool", "pool", route.pool(), configuration.pools());
            }
            PoolSettings pool = configuration.pools().get(route.pool());
            boolean hasKey = isPresent(path, "key");
            if (pool != null && pool.divided() && !hasKey) {
                report(
                        path + ".key",
                        "missing, expected 'header NAME', 'path SEGMENT' or 'query NAME', because pool " + route.pool()
                                + " is divided by key");
            }
            if (pool != null && !pool.divided() && hasKey) {
                report(path + ".key", "pool " + route.pool() + " is not divided, expected no key");
            }
        });
    }

    private void checkKeys() {
        Map<String, String> pathByDigest = new HashMap<>();
        configuration
                .organisations()
                .forEach((organisation, settings) -> settings.keys().forEach((name, digest) -> {
                    String path = "organisations." + organisation + ".keys." + name;
                    String other = pathByDigest.putIfAbsent(digest, path);
                    if (other != null) {
                        report(path, "the same digest is at " + other + ", expected each key once");
                    }
                }));
    }

    private void checkExists(String path, String noun, String name, Map<String, ?> known) {
        if (!known.containsKey(name)) {
            report(
                    path,
                    "unknown " + noun + " '" + name + "', expected one of "
                            + String.join(", ", new TreeMap<>(known).keySet()));
        }
    }

    private boolean isPresent(String path, String field) {
        YamlNode value = nodeAt(path).fields().get(field);
        return value != null && value.kind() != YamlNode.Kind.NULL;
    }

    /** Returns the node at a path, or its nearest existing ancestor if there is no such node. */
    private YamlNode nodeAt(String path) {
        YamlNode node = root;
        for (String name : path.split("\\.", -1)) {
            node = node.fields().getOrDefault(name, node);
        }
        return node;
    }

    private void report(String path, String message) {
        YamlNode node = nodeAt(path);
        problems.add(new ConfigurationProblem(node.file(), node.line(), path, message));
    }
}
