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

    /** File of a folder that holds the number of the revision on which the folder is based. */
    static final String REVISION_FILE = ".snipewind-revision";

    private static final FleetConfiguration NOTHING = new FleetConfiguration(Map.of(), Map.of(), Map.of(), Map.of());

    private FolderCommands() {}

    static int check(Path folder, boolean json, Output output) {
        Either<List<ConfigurationProblem>, FleetConfiguration> result = ConfigurationFolder.read(folder);
        List<ConfigurationProblem> problems = result.isLeft() ? result.getLeft() : List.of();
        if (json) {
            output.json(problems.stream()
                    .map(problem -> Map.of(
                            "file", problem.file(),
                            "line", problem.line(),
                            "field", problem.field(),
                            "message", problem.message()))
                    .toList());
        } else {
            problems.forEach(problem -> output.line(problem.toString()));
            output.line(problems.isEmpty() ? folder + ": no problems" : problems.size() + " problems");
        }
        return problems.isEmpty() ? ExitCode.DONE : ExitCode.PROBLEMS;
    }

    static int diff(CommandContext context, Path folder, boolean json) {
        Either<List<ConfigurationProblem>, FleetConfiguration> read = ConfigurationFolder.read(folder);
        if (read.isLeft()) {
            return reportProblems(context, read.getLeft());
        }
        Optional<ConfigurationRevision> current = context.revisions().current();
        List<ConfigurationChange> changes = ConfigurationDifference.between(
                current.map(ConfigurationRevision::configuration).orElse(NOTHING), read.get());
        Output output = new Output(context.output());
        if (json) {
            output.json(changes.stream()
                    .map(change -> Map.of(
                            "path", change.path(),
                            "before", change.before().orElse(""),
                            "after", change.after().orElse("")))
                    .toList());
        } else {
            changes.forEach(change -> output.line(change.toString()));
            output.line(changes.size() + " changes against revision "
                    + current.map(ConfigurationRevision::revision).orElse(0L));
        }
        return changes.isEmpty() ? ExitCode.DONE : ExitCode.PROBLEMS;
    }

    static int apply(CommandContext context, Path folder, ApplyOptions options) throws IOException {
        Either<List<ConfigurationProblem>, FleetConfiguration> read = ConfigurationFolder.read(folder);
        if (read.isLeft()) {
            return reportProblems(context, read.getLeft());
        }
        ConfigurationStore revisions = context.revisions();
        Optional<ConfigurationRevision> current = revisions.current();
        Optional<Long> base = options.base().isPresent() ? options.base() : rememberedRevision(folder);
        if (base.isEmpty() && current.isPresent()) {
            context.errors()
                    .println("refused: the store has revision " + current.get().revision() + ", and " + folder
                            + " does not say on which revision it is based; run 'snipewind pull' first, or give --base "
                            + current.get().revision() + " to replace that revision");
            return ExitCode.USAGE;
        }
        if (current.isPresent() && current.get().configuration().equals(read.get())) {
            rememberRevision(folder, current.get().revision());
            context.output()
                    .println("no changes against revision " + current.get().revision());
            return new InForceWait(context).waitFor(current.get().revision(), options.waitSeconds());
        }
        Either<AcceptFailure, ConfigurationRevision> result =
                revisions.accept(read.get(), base.orElse(0L), options.author(), options.note());
        if (result.isLeft()) {
            result.getLeft().winner().ifPresent(winner -> printWinner(context, winner, base.orElse(0L)));
            return context.report(result.getLeft());
        }
        rememberRevision(folder, result.get().revision());
        return new InForceWait(context).waitFor(result.get().revision(), options.waitSeconds());
    }

    static int pull(CommandContext context, Path folder, boolean force) throws IOException {
        Optional<ConfigurationRevision> current = context.revisions().current();
        if (current.isEmpty()) {
            context.errors().println("the store has no configuration yet; use 'snipewind apply'");
            return ExitCode.USAGE;
        }
        List<Path> files = Files.isDirectory(folder) ? ConfigurationFolder.files(folder) : List.of();
        if (!force && !files.isEmpty() && !holdsNoEdits(context, folder, files)) {
            context.errors()
                    .println("refused: " + folder + " has edits or files of other names; see 'snipewind diff', "
                            + "or give --force to replace all its YAML files");
            return ExitCode.CONFLICT;
        }
        for (Path file : files) {
            Files.delete(file);
        }
        ConfigurationFolder.write(current.get().configuration(), folder);
        rememberRevision(folder, current.get().revision());
        context.output().println("wrote revision " + current.get().revision() + " to " + folder);
        return ExitCode.DONE;
    }

    /** Tells whether a folder has only the files that pull writes, with the content of its revision. */
    private static boolean holdsNoEdits(CommandContext context, Path folder, List<Path> files) throws IOException {
        Optional<FleetConfiguration> pulled = rememberedRevision(folder)
                .flatMap(context.revisions()::revision)
                .map(ConfigurationRevision::configuration);
        return pulled.isPresent()
                && ConfigurationFolder.read(folder).fold(problems -> false, pulled.get()::equals)
                && files.stream()
                        .allMatch(file -> ConfigurationFolder.render(pulled.get())
                                .containsKey(file.getFileName().toString()));
    }

    private static void printWinner(CommandContext context, ConfigurationRevision winner, long base) {
        context.revisions()
                .revision(base)
                .ifPresent(before -> ConfigurationDifference.between(before.configuration(), winner.configuration())
                        .forEach(change -> context.errors().println("  " + change)));
    }

    private static int reportProblems(CommandContext context, List<ConfigurationProblem> problems) {
        problems.forEach(context.errors()::println);
        return ExitCode.PROBLEMS;
    }

    private static Optional<Long> rememberedRevision(Path folder) throws IOException {
        Path file = folder.resolve(REVISION_FILE);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(Files.readString(file).strip()));
        } catch (NumberFormatException failure) {
            throw new IOException(file + " does not hold a revision number", failure);
        }
    }

    private static void rememberRevision(Path folder, long revision) throws IOException {
        Files.writeString(folder.resolve(REVISION_FILE), revision + "\n");
    }
}
