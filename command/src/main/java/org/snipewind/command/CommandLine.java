package org.snipewind.command;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.snipewind.command.replay.ReplayOptions;

/** Defines the subcommands, arguments and options of the command. */
final class CommandLine {

    static final String SUBCOMMAND = "subcommand";
    static final String KEY_SUBCOMMAND = "keySubcommand";

    private static final int DEFAULT_WAIT_SECONDS = 20;
    private static final int DEFAULT_HISTORY_LIMIT = 50;

    private CommandLine() {}

    static ArgumentParser createParser() {
        ArgumentParser parser = ArgumentParsers.newFor("snipewind")
                .terminalWidthDetection(false)
                .build()
                .description("Operates a fleet of snipewind daemons.")
                .epilog("Exit codes: 0 done; 1 problems found, or not in force everywhere; 2 usage or settings; "
                        + "3 conflict with another operator; 4 store or daemon not reachable, or outcome not known.");
        Subparsers subparsers = parser.addSubparsers().dest(SUBCOMMAND).metavar("SUBCOMMAND");
        addFolderArgument(addJsonOption(subparsers.addParser("check").help("check a folder")));
        addFolderArgument(addJsonOption(
                addStoreOption(subparsers.addParser("diff").help("compare a folder with the current configuration"))));
        Subparser apply =
                addFolderArgument(addChangeOptions(subparsers.addParser("apply").help("put a folder in force")));
        apply.addArgument("--base").type(Long.class).metavar("N").help("revision that the folder replaces");
        apply.addArgument("--note").setDefault("apply").metavar("TEXT").help("what the change is");
        Subparser pull = addFolderArgument(
                addStoreOption(subparsers.addParser("pull").help("write the current configuration to a folder")));
        pull.addArgument("--force").action(Arguments.storeTrue()).help("replace a folder that has edits");
        addJsonOption(
                addStoreOption(subparsers.addParser("status").help("show the state of the fleet, troubles first")));
        addNameArgument(
                addChangeOptions(subparsers.addParser("out").help("take a data centre out of service")), "dataCentre");
        addNameArgument(
                addChangeOptions(subparsers.addParser("in").help("bring a data centre back into service")),
                "dataCentre");
        addNameArgument(addChangeOptions(subparsers.addParser("drain").help("give a target no new work")), "target");
        addNameArgument(addChangeOptions(subparsers.addParser("undrain").help("give a target work again")), "target");
        addKeySubcommands(subparsers);
        Subparser assignments =
                addJsonOption(addStoreOption(subparsers.addParser("assignments").help("show the slices of targets")));
        assignments.addArgument("pool").nargs("?").metavar("POOL").help("only this pool");
        Subparser history =
                addJsonOption(addStoreOption(subparsers.addParser("history").help("list the newest revisions")));
        history.addArgument("--limit")
                .type(Integer.class)
                .setDefault(DEFAULT_HISTORY_LIMIT)
                .metavar("N")
                .help("how many revisions to list (default " + DEFAULT_HISTORY_LIMIT + ")");
        Subparser rollback =
                addChangeOptions(subparsers.addParser("rollback").help("put an earlier revision in force again"));
        rollback.addArgument("revision").type(Long.class).metavar("REVISION").help("number of the revision");
        subparsers
                .addParser("rollouts")
                .help("show the roll-outs as an instance of the router knows them")
                .addArgument("instance")
                .metavar("ADDRESS")
                .help("host and port of the metrics of an instance");
        addReplaySubcommand(subparsers);
        addExplainRouteSubcommand(subparsers);
        return parser;
    }

    private static void addExplainRouteSubcommand(Subparsers subparsers) {
        Subparser explain = addJsonOption(subparsers
                .addParser("explain-route")
                .help("show where an instance on the users' platform would send a request now, and why")
                .epilog("Exit codes: 0 explained, also if the request would be refused; 2 an argument can't be used; "
                        + "4 instance not reachable."));
        explain.addArgument("--instance")
                .required(true)
                .metavar("ADDRESS")
                .help("host and port of the instance's metrics");
        explain.addArgument("--host").required(true).metavar("NAME").help("host of the request");
        explain.addArgument("--path").required(true).metavar("PATH").help("path of the request");
        explain.addArgument("--method").setDefault("GET").metavar("METHOD").help("method (default GET)");
        explain.addArgument("--header")
                .action(Arguments.append())
                .metavar("'NAME: VALUE'")
                .help("header of the request; may be given several times");
        explain.addArgument("--key").metavar("KEY").help("key that determines the owner");
    }

    private static void addReplaySubcommand(Subparsers subparsers) {
        Subparser replay = addJsonOption(subparsers.addParser("replay").help("send the requests of a trace"));
        replay.addArgument("trace").metavar("TRACE").help("file of JSON lines");
        replay.addArgument("--to")
                .required(true)
                .nargs("+")
                .metavar("ADDRESS")
                .help("host and port of each entry instance");
        replay.addArgument("--key-prefix")
                .setDefault(ReplayOptions.SAMPLE_KEY_PREFIX)
                .metavar("TEXT")
                .help("text before an organisation's name in its key (default " + ReplayOptions.SAMPLE_KEY_PREFIX
                        + ")");
    }

    private static void addKeySubcommands(Subparsers subparsers) {
        Subparsers keys = subparsers
                .addParser("key")
                .help("add or withdraw a key of an organisation")
                .addSubparsers()
                .dest(KEY_SUBCOMMAND)
                .metavar("SUBCOMMAND");
        Subparser add = addNameArgument(
                addChangeOptions(keys.addParser("add").help("add a key and print it once")), "organisation");
        addNameArgument(add, "name");
        add.addArgument("--stdin").action(Arguments.storeTrue()).help("read the key from standard input");
        addNameArgument(
                addNameArgument(addChangeOptions(keys.addParser("withdraw").help("withdraw a key")), "organisation"),
                "name");
    }

    private static Subparser addFolderArgument(Subparser parser) {
        parser.addArgument("folder").metavar("FOLDER").help("folder of YAML files");
        return parser;
    }

    private static Subparser addNameArgument(Subparser parser, String destination) {
        String placeholder =
                destination.equals("dataCentre") ? "DATA-CENTRE" : destination.toUpperCase(java.util.Locale.ROOT);
        parser.addArgument(destination).metavar(placeholder).help("name as in the configuration");
        return parser;
    }

    private static Subparser addStoreOption(Subparser parser) {
        parser.addArgument("--store").required(true).metavar("ADDRESS").help("host and port of the store");
        return parser;
    }

    private static Subparser addJsonOption(Subparser parser) {
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        return parser;
    }

    private static Subparser addChangeOptions(Subparser parser) {
        addStoreOption(parser);
        parser.addArgument("--author")
                .setDefault(System.getProperty("user.name", "unknown"))
                .metavar("NAME")
                .help("who makes the change (default: the user of this process)");
        parser.addArgument("--wait")
                .type(Integer.class)
                .setDefault(DEFAULT_WAIT_SECONDS)
                .metavar("SECONDS")
                .help("longest wait until the change is in force (default " + DEFAULT_WAIT_SECONDS + ")");
        return parser;
    }
}
