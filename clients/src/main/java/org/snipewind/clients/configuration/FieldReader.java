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
 * Reads the fields of one map and reports each that is missing, of the wrong type, out of range or unknown. A field
 * that is reported reads as its default, so that the rest of the file is still checked.
 */
final class FieldReader {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]+");
    private static final Pattern INTEGER = Pattern.compile("-?(0|[1-9][0-9]{0,17})");
    private static final Pattern DECIMAL = Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]{1,3})?");

    private final YamlTree map;
    private final String path;
    private final List<ConfigurationProblem> problems;
    private final Set<String> known = new HashSet<>();

    FieldReader(YamlTree map, String path, List<ConfigurationProblem> problems) {
        this.map = map;
        this.path = path;
        this.problems = problems;
    }

    /** Reports a problem at a field, or at the whole map if the map has no such field. */
    void report(String field, String message) {
        YamlTree place = map.fields().getOrDefault(field, map);
        problems.add(new ConfigurationProblem(place.file(), place.line(), pathOf(field), message));
    }

    boolean has(String field) {
        known.add(field);
        YamlTree value = map.fields().get(field);
        return value != null && value.kind() != YamlTree.Kind.NOTHING;
    }

    Optional<String> text(String field, String expected) {
        return value(field, true, expected)
                .filter(value -> isOfKind(field, value, expected, YamlTree.Kind.TEXT))
                .map(YamlTree::text);
    }

    /** Reads text that YAML may take for a number, such as a digest that consists of decimal digits. */
    Optional<String> scalar(String field, String expected) {
        return value(field, true, expected)
                .filter(value -> isOfKind(
                        field, value, expected, YamlTree.Kind.TEXT, YamlTree.Kind.INTEGER, YamlTree.Kind.DECIMAL))
                .map(YamlTree::text);
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

    boolean flag(String field, boolean otherwise) {
        String expected = "true or false";
        return value(field, false, expected)
                .filter(value -> isOfKind(field, value, expected, YamlTree.Kind.BOOLEAN))
                .filter(value -> {
                    boolean valid = value.text().equals("true") || value.text().equals("false");
                    if (!valid) {
                        report(field, "'" + value.text() + "' is ambiguous, expected " + expected);
                    }
                    return valid;
                })
                .map(value -> value.text().equals("true"))
                .orElse(otherwise);
    }

    /** Reads a required whole number. */
    long integer(String field, long least, long most) {
        return readInteger(field, true, least, most).orElse(least);
    }

    /** Reads a whole number that has a default. */
    long integer(String field, long least, long most, long otherwise) {
        return readInteger(field, false, least, most).orElse(otherwise);
    }

    private Optional<Long> readInteger(String field, boolean required, long least, long most) {
        String expected = "a whole number from " + least + " to " + most;
        return value(field, required, expected)
                .filter(value -> isOfKind(field, value, expected, YamlTree.Kind.INTEGER))
                .filter(value -> {
                    boolean valid = INTEGER.matcher(value.text()).matches()
                            && Long.parseLong(value.text()) >= least
                            && Long.parseLong(value.text()) <= most;
                    if (!valid) {
                        report(field, value.text() + " is out of range, expected " + expected);
                    }
                    return valid;
                })
                .map(value -> Long.parseLong(value.text()));
    }

    double positive(String field, double most) {
        String expected = "a number above 0 and at most " + (long) most;
        return value(field, true, expected)
                .filter(value -> isOfKind(field, value, expected, YamlTree.Kind.INTEGER, YamlTree.Kind.DECIMAL))
                .filter(value -> {
                    boolean valid = DECIMAL.matcher(value.text()).matches()
                            && Double.parseDouble(value.text()) > 0
                            && Double.parseDouble(value.text()) <= most;
                    if (!valid) {
                        report(field, value.text() + " is out of range, expected " + expected);
                    }
                    return valid;
                })
                .map(value -> Double.parseDouble(value.text()))
                .orElse(1.0);
    }

    /** Reads a list of text; an absent list is empty. */
    List<String> texts(String field, String expected) {
        return value(field, false, expected)
                .filter(value -> isOfKind(field, value, expected, YamlTree.Kind.LIST))
                .map(value -> value.items().stream()
                        .filter(item -> isOfKind(field, item, expected, YamlTree.Kind.TEXT))
                        .map(YamlTree::text)
                        .toList())
                .orElse(List.of());
    }

    /** Opens a map below this one; a map of the wrong type reads as empty without further reports. */
    Optional<FieldReader> child(String field, boolean required) {
        String expected = "a map";
        known.add(field);
        YamlTree value = map.fields().get(field);
        if (value != null && value.kind() == YamlTree.Kind.NOTHING) {
            value = new YamlTree(value.file(), value.line(), YamlTree.Kind.MAP, "", List.of(), Map.of());
        }
        if (value == null) {
            if (required) {
                report(field, "missing, expected " + expected);
            }
            return Optional.empty();
        }
        if (!isOfKind(field, value, expected, YamlTree.Kind.MAP)) {
            return Optional.empty();
        }
        return Optional.of(new FieldReader(value, pathOf(field), problems));
    }

    /** Reads a required map from names to settings. */
    <T> Map<String, T> named(String field, Function<FieldReader, T> settings) {
        Map<String, T> result = new LinkedHashMap<>();
        child(field, true)
                .ifPresent(section -> section.forEachName((name, unused) -> section.child(name, true)
                        .ifPresent(reader -> {
                            result.put(name, settings.apply(reader));
                            reader.reportUnknown();
                        })));
        return result;
    }

    /** Visits the fields of a map whose keys are names that the operator chooses. */
    void forEachName(BiConsumer<String, YamlTree> visitor) {
        map.fields().forEach((name, value) -> {
            known.add(name);
            if (!NAME.matcher(name).matches()) {
                report(name, "'" + name + "' is not a name, expected the characters a-z, 0-9 and -");
            }
            visitor.accept(name, value);
        });
    }

    /** Reports each field that was not read. */
    void reportUnknown() {
        map.fields().keySet().stream()
                .filter(field -> !known.contains(field))
                .forEach(field -> report(
                        field,
                        "unknown field, expected one of "
                                + String.join(", ", known.stream().sorted().toList())));
    }

    private Optional<YamlTree> value(String field, boolean required, String expected) {
        boolean present = has(field);
        if (!present && (required || map.fields().containsKey(field))) {
            report(field, "missing, expected " + expected);
        }
        return present ? Optional.of(map.fields().get(field)) : Optional.empty();
    }

    private boolean isOfKind(String field, YamlTree value, String expected, YamlTree.Kind... kinds) {
        boolean valid = List.of(kinds).contains(value.kind());
        if (!valid) {
            problems.add(new ConfigurationProblem(
                    value.file(),
                    value.line(),
                    pathOf(field),
                    "wrong type: found " + value.kind().label() + ", expected " + expected
                            + (List.of(kinds).contains(YamlTree.Kind.TEXT)
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
