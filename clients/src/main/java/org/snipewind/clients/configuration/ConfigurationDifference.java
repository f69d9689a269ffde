package org.snipewind.clients.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares configurations field by field. */
public final class ConfigurationDifference {

    private ConfigurationDifference() {}

    /**
     * Lists the fields that differ.
     *
     * @param before the older configuration
     * @param after the newer configuration
     * @return the changes, sorted by path
     */
    public static List<ConfigurationChange> between(FleetConfiguration before, FleetConfiguration after) {
        Map<String, String> oldFields = flatten(before);
        Map<String, String> newFields = flatten(after);
        TreeSet<String> paths = new TreeSet<>(oldFields.keySet());
        paths.addAll(newFields.keySet());
        return paths.stream()
                .map(path -> new ConfigurationChange(
                        path, Optional.ofNullable(oldFields.get(path)), Optional.ofNullable(newFields.get(path))))
                .filter(change -> !change.before().equals(change.after()))
                .toList();
    }

    private static Map<String, String> flatten(FleetConfiguration configuration) {
        Map<String, String> fields = new TreeMap<>();
        ConfigurationMapper.toMaps(configuration).forEach((section, content) -> flatten(section, content, fields));
        return fields;
    }

    private static void flatten(String path, Object value, Map<String, String> fields) {
        if (value instanceof Map<?, ?> map && !map.isEmpty()) {
            map.forEach((name, content) -> flatten(path + "." + name, content, fields));
        } else if (!(value instanceof Map<?, ?>)) {
            fields.put(path, String.valueOf(value));
        } else if (path.indexOf('.') >= 0) {
            fields.put(path, "(empty)");
        }
    }
}
