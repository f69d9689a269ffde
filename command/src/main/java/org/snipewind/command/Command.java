package org.snipewind.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
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

    private final Platform platform;
    private final InputStream input;
    private final PrintStream output;
    private final PrintStream errors;
    private final boolean terminal;

    Command(Platform platform, InputStream input, PrintStream output, PrintStream errors, boolean terminal) {
        this.platform = platform;
        this.input = input;
        this.output = output;
        this.errors = errors;
        this.terminal = terminal;
    }

    /**
     * Runs the command and ends the process with its exit code.
     *
     * @param arguments arguments of the command line
     */
    public static void main(String[] arguments) {
        int code;
        try (HttpPlatform platform = new HttpPlatform()) {
            code = new Command(platform, System.in, System.out, System.err, System.console() != null).run(arguments);
        }
        System.exit(code);
    }

    /** Runs the command and returns its exit code. */
    int run(String... arguments) {
        ArgumentParser parser = CommandLine.parser();
        try {
            return run(parser.parseArgs(arguments));
        } catch (HelpScreenException help) {
            return ExitCode.DONE;
        } catch (ArgumentParserException failure) {
            parser.handleError(failure, new PrintWriter(errors, true, StandardCharsets.UTF_8));
            return ExitCode.USAGE;
        } catch (StoreException | UnsupportedOperationException failure) {
            LOGGER.log(System.Logger.Level.DEBUG, "the store failed", failure);
            errors.println("store not reachable: " + failure.getMessage());
            return ExitCode.UNREACHABLE;
        } catch (IOException failure) {
            errors.println("cannot read or write: " + failure.getMessage());
            return ExitCode.USAGE;
        }
    }

    private int run(Namespace arguments) throws IOException {
        if (arguments.getString(CommandLine.SUBCOMMAND).equals("check")) {
            return FolderCommands.check(folder(arguments), arguments.getBoolean("json"), new Output(output));
        }
        if (arguments.getString(CommandLine.SUBCOMMAND).equals("replay")) {
            ReplayOptions options = new ReplayOptions(
                    arguments.<String>getList("to"),
                    arguments.getString("key_prefix"),
                    Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-");
            return new TraceReplay(output, errors, terminal)
                    .replay(Path.of(arguments.getString("trace")), options, arguments.getBoolean("json"));
        }
        try (KeyValueStore store = platform.connect(arguments.getString("store"))) {
            return run(arguments, new CommandContext(platform, store, input, output, errors, terminal));
        }
    }

    private static int run(Namespace arguments, CommandContext context) throws IOException {
        switch (arguments.getString(CommandLine.SUBCOMMAND)) {
            case "diff":
                return FolderCommands.diff(context, folder(arguments), arguments.getBoolean("json"));
            case "apply":
                ApplyOptions options = new ApplyOptions(
                        Optional.ofNullable(arguments.getLong("base")),
                        arguments.getString("author"),
                        arguments.getString("note"),
                        arguments.getInt("wait"));
                return FolderCommands.apply(context, folder(arguments), options);
            case "pull":
                return FolderCommands.pull(context, folder(arguments), arguments.getBoolean("force"));
            case "status":
                return ReadCommands.status(context, arguments.getBoolean("json"));
            case "out":
                return edit(context, arguments, Edits.service(arguments.getString("dataCentre"), false));
            case "in":
                return edit(context, arguments, Edits.service(arguments.getString("dataCentre"), true));
            case "drain":
                return drain(context, arguments, true);
            case "undrain":
                return drain(context, arguments, false);
            case "key":
                return key(context, arguments);
            case "assignments":
                return ReadCommands.assignments(
                        context, Optional.ofNullable(arguments.getString("pool")), arguments.getBoolean("json"));
            case "history":
                return ReadCommands.history(context, arguments.getInt("limit"), arguments.getBoolean("json"));
            case "rollback":
                return rollback(context, arguments);
            default:
                throw new IllegalStateException("the parser accepts only known subcommands");
        }
    }

    private static int drain(CommandContext context, Namespace arguments, boolean drained) {
        String target = arguments.getString("target");
        Optional<String> pool = context.revisions()
                .current()
                .flatMap(revision -> revision.configuration().poolOf(target));
        if (pool.isEmpty()) {
            context.errors().println("unknown target '" + target + "'");
            return ExitCode.USAGE;
        }
        return edit(context, arguments, Edits.drain(target, pool.get(), drained));
    }

    private static int key(CommandContext context, Namespace arguments) throws IOException {
        String organisation = arguments.getString("organisation");
        String name = arguments.getString("name");
        if (arguments.getString(CommandLine.KEY_SUBCOMMAND).equals("withdraw")) {
            return edit(context, arguments, Edits.key(organisation, name, Optional.empty()));
        }
        boolean given = arguments.getBoolean("stdin");
        AccessKey key = given
                ? new AccessKey(new String(context.input().readAllBytes(), StandardCharsets.UTF_8).strip())
                : AccessKey.generate();
        if (key.secret().isEmpty()) {
            context.errors().println("standard input holds no key");
            return ExitCode.USAGE;
        }
        Either<AcceptFailure, ConfigurationRevision> result = new ConfigurationEditor(context.revisions())
                .edit(Edits.key(organisation, name, Optional.of(key.digest())), arguments.getString("author"));
        // An unknown outcome prints the key as well: if the change took effect, this is the only copy.
        boolean mayExist = result.isRight() || result.getLeft().kind() == AcceptFailure.Kind.UNKNOWN;
        if (!given && mayExist) {
            context.output().println(key.secret());
        }
        return finish(context, arguments, result);
    }

    private static int rollback(CommandContext context, Namespace arguments) {
        ConfigurationStore revisions = context.revisions();
        long base = revisions.current().map(ConfigurationRevision::revision).orElse(0L);
        return finish(
                context,
                arguments,
                revisions.rollback(arguments.getLong("revision"), base, arguments.getString("author")));
    }

    private static int edit(CommandContext context, Namespace arguments, ConfigurationEdit edit) {
        return finish(
                context,
                arguments,
                new ConfigurationEditor(context.revisions()).edit(edit, arguments.getString("author")));
    }

    private static int finish(
            CommandContext context, Namespace arguments, Either<AcceptFailure, ConfigurationRevision> result) {
        return result.fold(
                context::report,
                revision -> new InForceWait(context).waitFor(revision.revision(), arguments.getInt("wait")));
    }

    private static Path folder(Namespace arguments) {
        return Path.of(arguments.getString("folder"));
    }
}
