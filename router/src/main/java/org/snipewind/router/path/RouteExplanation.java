package org.snipewind.router.path;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where a request would be sent and why, as a tree of named values: texts, numbers, truth values, maps and lists of
 * maps.
 *
 * @param fields the values in the order in which they are shown
 */
public record RouteExplanation(Map<String, Object> fields) {

    private static final String INDENT = "  ";

    /** Makes an unmodifiable copy that keeps the order. */
    public RouteExplanation {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Formats the explanation for operators.
     *
     * @return lines of text
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        append(text, "", fields);
        return text.toString();
    }

    private static void append(StringBuilder text, String indent, Map<?, ?> values) {
        values.forEach((name, value) -> {
            if (value instanceof Map<?, ?> map) {
                text.append(indent).append(name).append(":\n");
                append(text, indent + INDENT, map);
            } else if (value instanceof Collection<?> list) {
                list.forEach(element -> {
                    text.append(indent).append(name).append(":\n");
                    append(text, indent + INDENT, (Map<?, ?>) element);
                });
            } else {
                text.append(indent).append(name).append(": ").append(value).append('\n');
            }
        });
    }
}
