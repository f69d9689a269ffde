package org.snipewind.clients.configuration;

import java.io.StringReader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/** Parses one YAML file into nodes with line numbers, without creating objects of types that the file names. */
final class YamlParser {

    /** The configuration has seven levels; the limit ends the recursion into an anchor that contains itself. */
    private static final int MAX_DEPTH = 16;

    private final String file;
    private final List<ConfigurationProblem> problems;

    YamlParser(String file, List<ConfigurationProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /** Returns the root map, or empty if the file has no content or, which is reported, is not a valid YAML map. */
    Optional<YamlNode> parse(String content) {
        try {
            Node root = new Yaml(new SafeConstructor(new LoaderOptions())).compose(new StringReader(content));
            if (root == null) {
                return Optional.empty();
            }
            YamlNode tree = convert(root, root.getStartMark().getLine() + 1, "", 0);
            if (tree.kind() != YamlNode.Kind.MAP && tree.kind() != YamlNode.Kind.NULL) {
                report(tree.line(), "", "the file holds " + tree.kind().label() + ", expected a map");
                return Optional.empty();
            }
            return tree.kind() == YamlNode.Kind.MAP ? Optional.of(tree) : Optional.empty();
        } catch (MarkedYAMLException failure) {
            int line = failure.getProblemMark() == null
                    ? 0
                    : failure.getProblemMark().getLine() + 1;
            report(line, "", "not valid YAML: " + failure.getProblem() + ", expected one YAML document");
        } catch (YAMLException failure) {
            report(0, "", "not valid YAML: " + failure.getMessage() + ", expected one YAML document");
        }
        return Optional.empty();
    }

    private YamlNode convert(Node node, int line, String path, int depth) {
        if (depth > MAX_DEPTH) {
            report(line, path, "nested too deeply, expected at most " + MAX_DEPTH + " levels");
            return new YamlNode(file, line, YamlNode.Kind.NULL, "", List.of(), Map.of());
        }
        if (node instanceof MappingNode mapping) {
            return new YamlNode(file, line, YamlNode.Kind.MAP, "", List.of(), convertFields(mapping, path, depth));
        }
        if (node instanceof SequenceNode sequence) {
            List<YamlNode> items = sequence.getValue().stream()
                    .map(item -> convert(item, item.getStartMark().getLine() + 1, path, depth + 1))
                    .toList();
            return new YamlNode(file, line, YamlNode.Kind.LIST, "", items, Map.of());
        }
        return new YamlNode(file, line, kindOf(node.getTag()), ((ScalarNode) node).getValue(), List.of(), Map.of());
    }

    private Map<String, YamlNode> convertFields(MappingNode mapping, String path, int depth) {
        Map<String, YamlNode> fields = new LinkedHashMap<>();
        for (NodeTuple tuple : mapping.getValue()) {
            int line = tuple.getKeyNode().getStartMark().getLine() + 1;
            if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                report(line, path, "a key is not a scalar, expected a name");
                continue;
            }
            String name = key.getValue();
            String field = path.isEmpty() ? name : path + "." + name;
            YamlNode value = convert(tuple.getValueNode(), line, field, depth + 1);
            YamlNode earlier = fields.putIfAbsent(name, value);
            if (earlier != null) {
                report(line, field, "the key is already on line " + earlier.line() + ", expected it once in a file");
            }
        }
        return fields;
    }

    private static YamlNode.Kind kindOf(Tag tag) {
        if (tag.equals(Tag.STR)) {
            return YamlNode.Kind.TEXT;
        }
        if (tag.equals(Tag.INT)) {
            return YamlNode.Kind.INTEGER;
        }
        if (tag.equals(Tag.FLOAT)) {
            return YamlNode.Kind.DECIMAL;
        }
        if (tag.equals(Tag.BOOL)) {
            return YamlNode.Kind.BOOLEAN;
        }
        return tag.equals(Tag.NULL) ? YamlNode.Kind.NULL : YamlNode.Kind.OTHER;
    }

    private void report(int line, String field, String message) {
        problems.add(new ConfigurationProblem(file, line, field, message));
    }
}
