package org.snipewind.daemon.settings;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** A mapping of the settings file; its methods read single fields and validate them. */
final class SettingsNode {

    private final String file;
    private final String path;
    private final Map<?, ?> values;

    SettingsNode(String file, String path, Object value) {
        this.file = file;
        this.path = path;
        if (!(value instanceof Map<?, ?> map)) {
            throw new SettingsException(file, path.isEmpty() ? "(whole file)" : path, "expected a mapping of fields");
        }
        this.values = map;
    }

    void requireKnownFields(String... fields) {
        Collection<String> known = new TreeSet<>(List.of(fields));
        for (Object key : values.keySet()) {
            if (!known.contains(String.valueOf(key))) {
                throw exception(String.valueOf(key), "unknown field, expected one of " + String.join(", ", known));
            }
        }
    }

    String text(String field) {
        return optionalText(field).orElseThrow(() -> exception(field, "missing, expected a text"));
    }

    Optional<String> optionalText(String field) {
        Object value = values.get(field);
        if (value == null) {
            return Optional.empty();
        }
        if (!(value instanceof String text) || text.isBlank()) {
            throw exception(field, "expected a text that is not empty");
        }
        return Optional.of(text);
    }

    long number(String field, long minimum, long maximum, Optional<Long> defaultValue) {
        Object value = values.get(field);
        if (value == null && defaultValue.isPresent()) {
            return defaultValue.get();
        }
        if (!(value instanceof Integer || value instanceof Long)) {
            throw exception(field, "expected a whole number from " + minimum + " to " + maximum);
        }
        long number = ((Number) value).longValue();
        if (number < minimum || number > maximum) {
            throw exception(field, "expected a whole number from " + minimum + " to " + maximum + ", found " + number);
        }
        return number;
    }

    boolean flag(String field, boolean defaultValue) {
        Object value = values.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Boolean flag)) {
            throw exception(field, "expected true or false");
        }
        return flag;
    }

    List<String> textList(String field) {
        Object value = values.get(field);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list) || !list.stream().allMatch(String.class::isInstance)) {
            throw exception(field, "expected a list of texts");
        }
        return list.stream().map(String.class::cast).toList();
    }

    Optional<SettingsNode> child(String field) {
        Object value = values.get(field);
        return value == null ? Optional.empty() : Optional.of(new SettingsNode(file, pathOf(field), value));
    }

    SettingsNode requiredChild(String field) {
        return child(field).orElseThrow(() -> exception(field, "missing, expected a mapping of fields"));
    }

    SettingsException exception(String field, String expected) {
        return new SettingsException(file, pathOf(field), expected);
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }
}
