package org.snipewind.clients.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A YAML value with the file and line from which it was read.
 *
 * @param file name of the file
 * @param line line counted from 1; for a value in a map, the line of its key
 * @param kind kind of the value
 * @param text text of a scalar, empty otherwise
 * @param items items of a list, empty otherwise
 * @param fields fields of a map, empty otherwise
 */
record YamlNode(String file, int line, Kind kind, String text, List<YamlNode> items, Map<String, YamlNode> fields) {

    /** Kind of a YAML value. */
    enum Kind {
        MAP("a map"),
        LIST("a list"),
        TEXT("text"),
        INTEGER("a whole number"),
        DECIMAL("a number"),
        BOOLEAN("true or false"),
        NULL("nothing"),
        OTHER("a value of an unsupported type");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    static YamlNode emptyMap(String file) {
        return new YamlNode(file, 0, Kind.MAP, "", List.of(), Map.of());
    }

    /**
     * Returns this value merged with a later one: maps are merged by key, other values are replaced, and a later null
     * leaves a map unchanged.
     */
    YamlNode mergedWith(YamlNode later) {
        if (kind == Kind.MAP && later.kind == Kind.NULL) {
            return this;
        }
        if (kind != Kind.MAP || later.kind != Kind.MAP) {
            return later;
        }
        Map<String, YamlNode> merged = new LinkedHashMap<>(fields);
        later.fields.forEach((name, value) -> merged.merge(name, value, YamlNode::mergedWith));
        return new YamlNode(later.file, later.line, Kind.MAP, "", List.of(), merged);
    }
}
