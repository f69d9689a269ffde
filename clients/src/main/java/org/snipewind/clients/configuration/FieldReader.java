package org.snipewind.clients.configuration;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads the fields of one map and reports each that is missing, of the wrong type, out of range or unknown. A reported
 * field is read as a default value, so that the remaining fields are still checked.
 */
final class FieldReader {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]+");
    private static final Pattern INTEGER = Pattern.compile("-?(0|[1-9][0-9]{0,17})");
    private static final Pattern DECIMAL = Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]{1,3})?");

    private final YamlNode map;
    private final String path;
    private final List<ConfigurationProblem> problems;
    private final Set<String> knownFields = new HashSet<>();

    FieldReader(YamlNode map, String path, List<ConfigurationProblem> problems) {
        this.map = map;
        this.path = path;
        this.problems = problems;
    }

    /** Reports a problem at a field, or at the whole map if the map has no such field. */
    void report(String field, String message) {
        YamlNode node = map.fields().getOrDefault(field, map);
        problems.add(new ConfigurationProblem(node.file(), node.line(), pathOf(field), message));
    }

    boolean has(String field) {
        knownFields.add(field);
        YamlNode value = map.fields().get(field);
        return value != null && value.kind() != YamlNode.Kind.NULL;
    }

    Optional<String> text(String field, String expected) {
        return value(field, true, expected)
                .filter(value -> isOfKind(field, value, expected, YamlNode.Kind.TEXT))
                .map(YamlNode::text);
    }

    /** Reads text that YAML may interpret as a number, such as a digest of decimal digits only. */
    Optional<String> scalar(String field, String expected) {
        return value(field, true, expected)
                .filter(value -> isOfKind(
                        field, value, expected, YamlNode.Kind.TEXT, YamlNode.Kind.INTEGER, YamlNode.Kind.DECIMAL))
                .map(YamlNode::text);
    }

    Optional<String> name(String field) {
        String expected = "a name of the characters a-z, 0-9 and -";
        return text(field, expected).filter(name -> {
            boolean valid = NAME.matcher(name).matches();
            if (!valid) {
                report(field, "'" + name + "' is not a name, expected " + expected);
            }
            return valid;
        });
    }

    boolean flag(String field, boolean defaultValue) {
        String expected = "true or false";
        return value(field, false, expected)
                .filter(value -> isOfKind(field, value, expected, YamlNode.Kind.BOOLEAN))
                .filter(value -> {
                    boolean valid = value.text().equals("true") || value.text().equals("false");
                    if (!valid) {
                        report(field, "'" + value.text() + "' is ambiguous, expected " + expected);
                    }
                    return valid;
                })
                .map(value -> value.text().equals("true"))
                .orElse(defaultValue);
    }

    /** Reads a required whole number. */
    long integer(String field, long minimum, long maximum) {
        return readInteger(field, true, minimum, maximum).orElse(minimum);
    }

    /** Reads a whole number that has a default. */
    long integer(String field, long minimum, long maximum, long defaultValue) {
        return readInteger(field, false, minimum, maximum).orElse(defaultValue);
    }

    private Optional<Long> readInteger(String field, boolean required, long minimum, long maximum) {
        String expected = "a whole number from " + minimum + " to " + maximum;
        return value(field, required, expected)
                .filter(value -> isOfKind(field, value, expected, YamlNode.Kind.INTEGER))
                .filter(value -> {
                    boolean valid = INTEGER.matcher(value.text()).matches()
                            && Long.parseLong(value.text()) >= minimum
                            && Long.parseLong(value.text()) <= maximum;
                    if (!valid) {
                        report(field, value.text() + " is out of range, expected " + expected);
                    }
                    return valid;
                })
                .map(value -> Long.parseLong(value.text()));
    }

    double positiveNumber(String field, double maximum) {
        String expected = "a number above 0 and at most " + (long) maximum;
        return value(field, true, expected)
                .filter(value -> isOfKind(field, value, expected, YamlNode.Kind.INTEGER, YamlNode.Kind.DECIMAL))
                .filter(value -> {
                    boolean valid = DECIMAL.matcher(value.text()).matches()
                            && Double.parseDouble(value.text()) > 0
                            && Double.parseDouble(value.text()) <= maximum;
                    if (!valid) {
                        report(field, value.text() + " is out of range, expected " + expected);
                    }
                    return valid;
                })
                .map(value -> Double.parseDouble(value.text()))
                .orElse(1.0);
    }

    /** Reads a list of texts; an absent list is empty. */
    List<String> textList(String field, String expected) {
        return value(field, false, expected)
                .filter(value -> isOfKind(field, value, expected, YamlNode.Kind.LIST))
                .map(value -> value.items().stream()
                        .filter(item -> isOfKind(field, item, expected, YamlNode.Kind.TEXT))
                        .map(YamlNode::text)
                        .toList())
                .orElse(List.of());
    }

    /**
     * Returns a reader of the map in a field, or empty if the field is absent or not a map. A null value is read as an
     * empty map. A required field that is absent, or a field that is not a map, is reported once.
     */
    Optional<FieldReader> child(String field, boolean required) {
        String expected = "a map";
        knownFields.add(field);
        YamlNode value = map.fields().get(field);
        if (value != null && value.kind() == YamlNode.Kind.NULL) {
            value = new YamlNode(value.file(), value.line(), YamlNode.Kind.MAP, "", List.of(), Map.of());
        }
        if (value == null) {
            if (required) {
                report(field, "missing, expected " + expected);
            }
            return Optional.empty();
        }
        if (!isOfKind(field, value, expected, YamlNode.Kind.MAP)) {
            return Optional.empty();
        }
        return Optional.of(new FieldReader(value, pathOf(field), problems));
    }

    /** Reads a required map of settings by name, whose names the operator chooses. */
    <T> Map<String, T> namedMap(String field, Function<FieldReader, T> settings) {
        Map<String, T> result = new LinkedHashMap<>();
        child(field, true)
                .ifPresent(section -> section.forEachNamedField((name, unused) -> section.child(name, true)
                        .ifPresent(reader -> {
                            result.put(name, settings.apply(reader));
                            reader.reportUnknown();
                        })));
        return result;
    }

    /** Visits the fields of a map whose names the operator chooses, and reports each invalid name. */
    void forEachNamedField(BiConsumer<String, YamlNode> visitor) {
        map.fields().forEach((name, value) -> {
            knownFields.add(name);
            if (!NAME.matcher(name).matches()) {
                report(name, "'" + name + "' is not a name, expected the characters a-z, 0-9 and -");
            }
            visitor.accept(name, value);
        });
    }

    /** Reports each field that was not read. */
    void reportUnknown() {
        map.fields().keySet().stream()
                .filter(field -> !knownFields.contains(field))
                .forEach(field -> report(
                        field,
                        "unknown field, expected one of "
                                + String.join(
                                        ", ", knownFields.stream().sorted().toList())));
    }

    private Optional<YamlNode> value(String field, boolean required, String expected) {
        boolean present = has(field);
        if (!present && (required || map.fields().containsKey(field))) {
            report(field, "missing, expected " + expected);
        }
        return present ? Optional.of(map.fields().get(field)) : Optional.empty();
    }

    private boolean isOfKind(String field, YamlNode value, String expected, YamlNode.Kind... kinds) {
        boolean valid = List.of(kinds).contains(value.kind());
        if (!valid) {
            problems.add(new ConfigurationProblem(
                    value.file(),
                    value.line(),
                    pathOf(field),
                    "wrong type: found " + value.kind().label() + ", expected " + expected
                            + (List.of(kinds).contains(YamlNode.Kind.TEXT)
                                            && !value.text().isEmpty()
                                    ? " (put it in quotes)"
                                    : "")));
        }
        return valid;
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }
}
