package org.snipewind.clients.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A YAML value that remembers the file and the line from which it came.
 *
 * @param file name of the file
 * @param line line counted from 1; for a value in a map, the line of its key
 * @param kind kind of the value
 * @param text text of a scalar, empty otherwise
 * @param items items of a list, empty otherwise
 * @param fields fields of a map, empty otherwise
 */
record YamlTree(String file, int line, Kind kind, String text, List<YamlTree> items, Map<String, YamlTree> fields) {

    /** Kind of a YAML value. */
    enum Kind {
        MAP("a map"),
        LIST("a list"),
        TEXT("text"),
        INTEGER("a whole number"),
        DECIMAL("a number"),
        BOOLEAN("true or false"),
        NOTHING("nothing"),
        OTHER("a value of an unsupported type");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    static YamlTree emptyMap(String file) {
        return new YamlTree(file, 0, Kind.MAP, "", List.of(), Map.of());
    }

    /** Adds a later value: maps merge by key, everything else is replaced, and an empty value changes no map. */
    YamlTree mergedWith(YamlTree later) {
        if (kind == Kind.MAP && later.kind == Kind.NOTHING) {
            return this;
        }
        if (kind != Kind.MAP || later.kind != Kind.MAP) {
            return later;
        }
        Map<String, YamlTree> merged = new LinkedHashMap<>(fields);
        later.fields.forEach((name, value) -> merged.merge(name, value, YamlTree::mergedWith));
        return new YamlTree(later.file, later.line, Kind.MAP, "", List.of(), merged);
    }
}
