package org.snipewind.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.clients.configuration.AcceptFailure;
import org.snipewind.clients.configuration.ConfigurationChange;
import org.snipewind.clients.configuration.ConfigurationDifference;
import org.snipewind.clients.configuration.ConfigurationFolder;
import org.snipewind.clients.configuration.ConfigurationProblem;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.configuration.FleetConfiguration;

/** The subcommands that work on a folder: check, diff, apply and pull. */
final class FolderCommands {

    /** Name of the file in a folder that contains the number of the revision on which the folder is based. */
    static final String BASE_REVISION_FILE = ".snipewind-revision";

    private static final FleetConfiguration EMPTY_CONFIGURATION =
            new FleetConfiguration(Map.of(), Map.of(), Map.of(), Map.of());

    private FolderCommands() {}

    static int check(Path folder, boolean json, ResultWriter output) {
        Either<List<ConfigurationProblem>, FleetConfiguration> result = ConfigurationFolder.read(folder);
        List<ConfigurationProblem> problems = result.isLeft() ? result.getLeft() : List.of();
        if (json) {
            output.printJson(problems.stream()
                    .map(problem -> Map.of(
                            "file", problem.file(),
                            "line", problem.line(),
                            "field", problem.field(),
                            "message", problem.message()))
                    .toList());
        } else {
            problems.forEach(problem -> output.printLine(problem.toString()));
            output.printLine(problems.isEmpty() ? folder + ": no problems" : problems.size() + " problems");
        }
        return problems.isEmpty() ? ExitCode.DONE : ExitCode.PROBLEMS;
    }

    static int diff(CommandContext context, Path folder, boolean json) {
        Either<List<ConfigurationProblem>, FleetConfiguration> parsed = ConfigurationFolder.read(folder);
        if (parsed.isLeft()) {
            return printProblems(context, parsed.getLeft());
        }
        Optional<ConfigurationRevision> current = context.configurationStore().current();
        List<ConfigurationChange> changes = ConfigurationDifference.between(
                current.map(ConfigurationRevision::configuration).orElse(EMPTY_CONFIGURATION), parsed.get());
        ResultWriter output = new ResultWriter(context.output());
        if (json) {
            output.printJson(changes.stream()
                    .map(change -> Map.of(
                            "path", change.path(),
                            "before", change.before().orElse(""),
                            "after", change.after().orElse("")))
                    .toList());
        } else {
            changes.forEach(change -> output.printLine(change.toString()));
            output.printLine(changes.size() + " changes against revision "
                    + current.map(ConfigurationRevision::revision).orElse(0L));
        }
        return changes.isEmpty() ? ExitCode.DONE : ExitCode.PROBLEMS;
    }

    static int apply(CommandContext context, Path folder, ApplyOptions options) throws IOException {
        Either<List<ConfigurationProblem>, FleetConfiguration> parsed = ConfigurationFolder.read(folder);
        if (parsed.isLeft()) {
            return printProblems(context, parsed.getLeft());
        }
        ConfigurationStore configurationStore = context.configurationStore();
        Optional<ConfigurationRevision> current = configurationStore.current();
        Optional<Long> baseRevision =
                options.baseRevision().isPresent() ? options.baseRevision() : readBaseRevision(folder);
        if (baseRevision.isEmpty() && current.isPresent()) {
            context.errors()
                    .println("refused: the store has revision " + current.get().revision() + ", and " + folder
                            + " does not say on which revision it is based; run 'snipewind pull' first, or give --base "
                            + current.get().revision() + " to replace that revision");
            return ExitCode.USAGE;
        }
        if (current.isPresent() && current.get().configuration().equals(parsed.get())) {
            writeBaseRevision(folder, current.get().revision());
            context.output()
                    .println("no changes against revision " + current.get().revision());
            return new InForceWaiter(context).await(current.get().revision(), options.waitSeconds());
        }
        Either<AcceptFailure, ConfigurationRevision> result =
                configurationStore.accept(parsed.get(), baseRevision.orElse(0L), options.author(), options.note());
        if (result.isLeft()) {
            result.getLeft()
                    .conflictingRevision()
                    .ifPresent(conflictingRevision ->
                            printConflictingChanges(context, conflictingRevision, baseRevision.orElse(0L)));
            return context.reportFailure(result.getLeft());
        }
        writeBaseRevision(folder, result.get().revision());
        return new InForceWaiter(context).await(result.get().revision(), options.waitSeconds());
    }

    static int pull(CommandContext context, Path folder, boolean force) throws IOException {
        Optional<ConfigurationRevision> current = context.configurationStore().current();
        if (current.isEmpty()) {
            context.errors().println("the store has no configuration yet; use 'snipewind apply'");
            return ExitCode.USAGE;
        }
        List<Path> files = Files.isDirectory(folder) ? ConfigurationFolder.files(folder) : List.of();
        if (!force && !files.isEmpty() && !isUnedited(context, folder, files)) {
            context.errors()
                    .println("refused: " + folder
                            + " has edits or YAML files that 'snipewind pull' did not write; see 'snipewind diff', "
                            + "or give --force to replace all its YAML files");
            return ExitCode.CONFLICT;
        }
        for (Path file : files) {
            Files.delete(file);
        }
        ConfigurationFolder.write(current.get().configuration(), folder);
        writeBaseRevision(folder, current.get().revision());
        context.output().println("wrote revision " + current.get().revision() + " to " + folder);
        return ExitCode.DONE;
    }

    /** Returns whether a folder contains only the files that pull writes, with the content of its base revision. */
    private static boolean isUnedited(CommandContext context, Path folder, List<Path> files) throws IOException {
        Optional<FleetConfiguration> baseConfiguration = readBaseRevision(folder)
                .flatMap(context.configurationStore()::revision)
                .map(ConfigurationRevision::configuration);
        return baseConfiguration.isPresent()
                && ConfigurationFolder.read(folder).fold(problems -> false, baseConfiguration.get()::equals)
                && files.stream()
                        .allMatch(file -> ConfigurationFolder.render(baseConfiguration.get())
                                .containsKey(file.getFileName().toString()));
    }

    /** Prints the changes between the base revision and the revision that was accepted instead of the new one. */
    private static void printConflictingChanges(
            CommandContext context, ConfigurationRevision conflictingRevision, long baseRevision) {
        context.configurationStore()
                .revision(baseRevision)
                .ifPresent(before -> ConfigurationDifference.between(
                                before.configuration(), conflictingRevision.configuration())
                        .forEach(change -> context.errors().println("  " + change)));
    }

    private static int printProblems(CommandContext context, List<ConfigurationProblem> problems) {
        problems.forEach(context.errors()::println);
        return ExitCode.PROBLEMS;
    }

    private static Optional<Long> readBaseRevision(Path folder) throws IOException {
        Path file = folder.resolve(BASE_REVISION_FILE);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(Files.readString(file).strip()));
        } catch (NumberFormatException failure) {
            throw new IOException(file + " does not hold a revision number", failure);
        }
    }

    private static void writeBaseRevision(Path folder, long revision) throws IOException {
        Files.writeString(folder.resolve(BASE_REVISION_FILE), revision + "\n");
    }
}
