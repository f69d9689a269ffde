package org.snipewind.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.snipewind.clients.configuration.AcceptFailure;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreException;
import org.snipewind.command.replay.ReplayOptions;

/** The operators' command {@code snipewind}. */
public final class Command {

    private static final System.Logger LOGGER = System.getLogger(Command.class.getName());

    private final FleetClient fleetClient;
    private final InputStream input;
    private final PrintStream output;
    private final PrintStream errors;
    private final boolean interactive;

    Command(FleetClient fleetClient, InputStream input, PrintStream output, PrintStream errors, boolean interactive) {
        this.fleetClient = fleetClient;
        this.input = input;
        this.output = output;
        this.errors = errors;
        this.interactive = interactive;
    }

    /**
     * Runs the command and ends the process with its exit code.
     *
     * @param arguments arguments of the command line
     */
    public static void main(String[] arguments) {
        int code;
        try (HttpFleetClient fleetClient = new HttpFleetClient()) {
            code = new Command(fleetClient, System.in, System.out, System.err, System.console() != null).run(arguments);
        }
        System.exit(code);
    }

    /** Runs the command and returns its exit code. */
    int run(String... arguments) {
        ArgumentParser parser = CommandLine.createParser();
        try {
            return run(parser.parseArgs(arguments));
        } catch (HelpScreenException help) {
            return ExitCode.DONE;
        } catch (ArgumentParserException failure) {
            parser.handleError(failure, new PrintWriter(errors, true, StandardCharsets.UTF_8));
            return ExitCode.USAGE;
        } catch (StoreException | UnsupportedOperationException failure) {
            LOGGER.log(System.Logger.Level.DEBUG, "store operation failed", failure);
            errors.println("store not reachable: " + failure.getMessage());
            return ExitCode.UNREACHABLE;
        } catch (IOException failure) {
            errors.println("cannot read or write: " + failure.getMessage());
            return ExitCode.USAGE;
        }
    }

    private int run(Namespace arguments) throws IOException {
        if (arguments.getString(CommandLine.SUBCOMMAND).equals("check")) {
            return FolderCommands.check(
                    folderArgument(arguments), arguments.getBoolean("json"), new ResultWriter(output));
        }
        if (arguments.getString(CommandLine.SUBCOMMAND).equals("rollouts")) {
            return showRollouts(arguments.getString("instance"));
        }
        if (arguments.getString(CommandLine.SUBCOMMAND).equals("replay")) {
            ReplayOptions options = new ReplayOptions(
                    arguments.<String>getList("to"),
                    arguments.getString("key_prefix"),
                    Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-");
            return new TraceReplay(output, errors, interactive)
                    .replay(Path.of(arguments.getString("trace")), options, arguments.getBoolean("json"));
        }
        if (arguments.getString(CommandLine.SUBCOMMAND).equals("explain-route")) {
            return explainRoute(arguments);
        }
        try (KeyValueStore store = fleetClient.connectStore(arguments.getString("store"))) {
            return run(arguments, new CommandContext(fleetClient, store, input, output, errors, interactive));
        }
    }

    private int explainRoute(Namespace arguments) {
        RouteQuestion question = new RouteQuestion(
                arguments.getString("host"),
                arguments.getString("path"),
                arguments.getString("method"),
                Optional.ofNullable(arguments.<String>getList("header")).orElse(List.of()),
                Optional.ofNullable(arguments.getString("key")),
                arguments.getBoolean("json"));
        return fleetClient
                .explainRoute(arguments.getString("instance"), question)
                .fold(
                        failure -> {
                            errors.println(failure.reason());
                            return failure.badArgument() ? ExitCode.USAGE : ExitCode.UNREACHABLE;
                        },
                        explanation -> {
                            output.print(explanation);
                            return ExitCode.DONE;
                        });
    }

    private int showRollouts(String instance) {
        return fleetClient
                .readRollouts(instance)
                .fold(
                        problem -> {
                            errors.println("instance not reachable: " + problem);
                            return ExitCode.UNREACHABLE;
                        },
                        text -> {
                            output.print(text.isEmpty() ? "no roll-outs\n" : text);
                            return ExitCode.DONE;
                        });
    }

    private static int run(Namespace arguments, CommandContext context) throws IOException {
        switch (arguments.getString(CommandLine.SUBCOMMAND)) {
            case "diff":
                return FolderCommands.diff(context, folderArgument(arguments), arguments.getBoolean("json"));
            case "apply":
                ApplyOptions options = new ApplyOptions(
                        Optional.ofNullable(arguments.getLong("base")),
                        arguments.getString("author"),
                        arguments.getString("note"),
                        arguments.getInt("wait"));
                return FolderCommands.apply(context, folderArgument(arguments), options);
            case "pull":
                return FolderCommands.pull(context, folderArgument(arguments), arguments.getBoolean("force"));
            case "status":
                return ReadCommands.status(context, arguments.getBoolean("json"));
            case "out":
                return applyEdit(
                        context, arguments, ConfigurationEdits.setInService(arguments.getString("dataCentre"), false));
            case "in":
                return applyEdit(
                        context, arguments, ConfigurationEdits.setInService(arguments.getString("dataCentre"), true));
            case "drain":
                return setDrained(context, arguments, true);
            case "undrain":
                return setDrained(context, arguments, false);
            case "key":
                return changeKey(context, arguments);
            case "assignments":
                return ReadCommands.assignments(
                        context, Optional.ofNullable(arguments.getString("pool")), arguments.getBoolean("json"));
            case "history":
                return ReadCommands.history(context, arguments.getInt("limit"), arguments.getBoolean("json"));
            case "rollback":
                return rollback(context, arguments);
            default:
                throw new IllegalStateException("the parser accepted an unknown subcommand");
        }
    }

    private static int setDrained(CommandContext context, Namespace arguments, boolean drained) {
        String target = arguments.getString("target");
        Optional<String> pool = context.configurationStore()
                .current()
                .flatMap(revision -> revision.configuration().poolOf(target));
        if (pool.isEmpty()) {
            context.errors().println("unknown target '" + target + "'");
            return ExitCode.USAGE;
        }
        return applyEdit(context, arguments, ConfigurationEdits.setDrained(target, pool.get(), drained));
    }

    private static int changeKey(CommandContext context, Namespace arguments) throws IOException {
        String organisation = arguments.getString("organisation");
        String name = arguments.getString("name");
        if (arguments.getString(CommandLine.KEY_SUBCOMMAND).equals("withdraw")) {
            return applyEdit(context, arguments, ConfigurationEdits.setKey(organisation, name, Optional.empty()));
        }
        boolean fromStandardInput = arguments.getBoolean("stdin");
        AccessKey key = fromStandardInput
                ? new AccessKey(new String(context.input().readAllBytes(), StandardCharsets.UTF_8).strip())
                : AccessKey.generate();
        if (key.secret().isEmpty()) {
            context.errors().println("standard input holds no key");
            return ExitCode.USAGE;
        }
        Either<AcceptFailure, ConfigurationRevision> result = new ConfigurationEditor(context.configurationStore())
                .edit(
                        ConfigurationEdits.setKey(organisation, name, Optional.of(key.digest())),
                        arguments.getString("author"));
        // The key is printed after an unknown outcome too: if the change took effect, this is the only copy.
        boolean mayBeStored = result.isRight() || result.getLeft().kind() == AcceptFailure.Kind.UNKNOWN;
        if (!fromStandardInput && mayBeStored) {
            context.output().println(key.secret());
        }
        return reportAndAwait(context, arguments, result);
    }

    private static int rollback(CommandContext context, Namespace arguments) {
        ConfigurationStore configurationStore = context.configurationStore();
        long baseRevision = configurationStore
                .current()
                .map(ConfigurationRevision::revision)
                .orElse(0L);
        return reportAndAwait(
                context,
                arguments,
                configurationStore.rollback(
                        arguments.getLong("revision"), baseRevision, arguments.getString("author")));
    }

    private static int applyEdit(CommandContext context, Namespace arguments, ConfigurationEdit edit) {
        return reportAndAwait(
                context,
                arguments,
                new ConfigurationEditor(context.configurationStore()).edit(edit, arguments.getString("author")));
    }

    private static int reportAndAwait(
            CommandContext context, Namespace arguments, Either<AcceptFailure, ConfigurationRevision> result) {
        return result.fold(
                context::reportFailure,
                revision -> new InForceWaiter(context).await(revision.revision(), arguments.getInt("wait")));
    }

    private static Path folderArgument(Namespace arguments) {
        return Path.of(arguments.getString("folder"));
    }
}
