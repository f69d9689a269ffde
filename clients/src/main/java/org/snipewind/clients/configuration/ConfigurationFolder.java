package org.snipewind.clients.configuration;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/** Reads and writes the operators' folder of YAML files, which are merged in the order of their names. */
public final class ConfigurationFolder {

    private static final Map<String, String> FILE_BY_SECTION = new LinkedHashMap<>();

    static {
        FILE_BY_SECTION.put("dataCentres", "10-data-centres.yaml");
        FILE_BY_SECTION.put("pools", "20-pools.yaml");
        FILE_BY_SECTION.put("routes", "30-routes.yaml");
        FILE_BY_SECTION.put("organisations", "40-organisations.yaml");
    }

    private ConfigurationFolder() {}

    /**
     * Reads, merges and validates the files of a folder.
     *
     * @param folder path of the folder
     * @return the configuration, or all problems of the folder, sorted by file and line
     */
    public static Either<List<ConfigurationProblem>, FleetConfiguration> read(Path folder) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        YamlNode merged = YamlNode.emptyMap(folder.toString());
        try {
            List<Path> files = files(folder);
            if (files.isEmpty()) {
                problems.add(new ConfigurationProblem(
                        folder.toString(), 0, "", "no files, expected files that end in .yaml or .yml"));
            }
            for (Path file : files) {
                Optional<YamlNode> tree = readFile(file, problems);
                merged = tree.isPresent() ? merged.mergedWith(tree.get()) : merged;
            }
        } catch (IOException failure) {
            problems.add(new ConfigurationProblem(
                    folder.toString(), 0, "", "cannot be read (" + failure + "), expected a folder of YAML files"));
        }
        if (merged.fields().isEmpty() && !problems.isEmpty()) {
            return Either.left(List.copyOf(problems));
        }
        FleetConfiguration configuration = ConfigurationReader.read(merged, problems);
        new ConfigurationValidator(configuration, merged, problems).validate();
        if (problems.isEmpty()) {
            return Either.right(configuration);
        }
        return Either.left(problems.stream()
                .distinct()
                .sorted(Comparator.comparing(ConfigurationProblem::file).thenComparingInt(ConfigurationProblem::line))
                .toList());
    }

    /**
     * Lists the files of a folder that belong to the configuration.
     *
     * @param folder path of the folder
     * @return the YAML files in the order in which they are merged
     * @throws IOException if the folder cannot be listed
     */
    public static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.filter(Files::isRegularFile)
                    .filter(file ->
                            file.toString().endsWith(".yaml") || file.toString().endsWith(".yml"))
                    .sorted(Comparator.comparing(file -> file.getFileName().toString()))
                    .toList();
        }
    }

    /**
     * Formats a configuration as the files of a folder.
     *
     * @param configuration the configuration
     * @return content of each file by file name
     */
    public static Map<String, String> render(FleetConfiguration configuration) {
        DumperOptions options = new DumperOptions();
        options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
        options.setWidth(120);
        Yaml yaml = new Yaml(options);
        Map<String, String> contents = new LinkedHashMap<>();
        ConfigurationMapper.toMaps(configuration)
                .forEach((section, fields) ->
                        contents.put(FILE_BY_SECTION.get(section), yaml.dump(Map.of(section, fields))));
        return contents;
    }

    /**
     * Writes a configuration to a folder, one file per section, and creates the folder if necessary.
     *
     * @param configuration the configuration
     * @param folder path of the folder
     * @throws IOException if a file cannot be written
     */
    public static void write(FleetConfiguration configuration, Path folder) throws IOException {
        Files.createDirectories(folder);
        for (Map.Entry<String, String> file : render(configuration).entrySet()) {
            Files.writeString(folder.resolve(file.getKey()), file.getValue());
        }
    }

    private static Optional<YamlNode> readFile(Path file, List<ConfigurationProblem> problems) throws IOException {
        String name = file.getFileName().toString();
        try {
            return new YamlParser(name, problems).parse(Files.readString(file));
        } catch (CharacterCodingException failure) {
            problems.add(new ConfigurationProblem(name, 0, "", "not valid UTF-8, expected a text file in UTF-8"));
            return Optional.empty();
        }
    }
}
