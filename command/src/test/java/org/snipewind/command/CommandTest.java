package org.snipewind.command;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snipewind.clients.configuration.ConfigurationFolder;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.configuration.FleetConfiguration;

class CommandTest {

    private final InMemoryFleetClient fleetClient = new InMemoryFleetClient();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    @BeforeEach
    void fillFolder() throws IOException {
        ConfigurationFolder.write(
                ConfigurationFolder.read(Path.of("../samples/voces-del-plata")).get(), folder);
    }

    private int run(String... arguments) {
        output.reset();
        errors.reset();
        return new Command(
                        fleetClient,
                        new ByteArrayInputStream(new byte[0]),
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8),
                        false)
                .run(arguments);
    }

    private int runOnStore(String... arguments) {
        String[] all = java.util.Arrays.copyOf(arguments, arguments.length + 2);
        all[arguments.length] = "--store";
        all[arguments.length + 1] = "127.0.0.1:1";
        return run(all);
    }

    private FleetConfiguration currentConfiguration() {
        return new ConfigurationStore(fleetClient, () -> 0).current().get().configuration();
    }

    /** Guards against an apply that overwrites another operator's edit unnoticed, and against a wrong exit code. */
    @Test
    void applyAfterAnotherEditConflictsUntilPull() {
        assertThat(runOnStore("apply", folder.toString())).isEqualTo(ExitCode.DONE);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("revision 1 is in force on all 1 daemons");
        assertThat(runOnStore("out", "rosario", "--author", "bela")).isEqualTo(ExitCode.DONE);
        assertThat(runOnStore("apply", folder.toString())).isEqualTo(ExitCode.CONFLICT);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("revision 2 by bela");
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("dataCentres.rosario.inService: true -> false");
        assertThat(runOnStore("pull", folder.toString())).isEqualTo(ExitCode.DONE);
        assertThat(runOnStore("diff", folder.toString())).isEqualTo(ExitCode.DONE);
    }

    /** Guards against an unreachable instance that looks like one without roll-outs. */
    @Test
    void rolloutsAreShownAsTheInstanceKnowsThem() {
        assertThat(run("rollouts", "127.0.0.1:2")).isEqualTo(ExitCode.DONE);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("phase=CANARY");
        assertThat(run("rollouts", "127.0.0.1:1")).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("connection refused");
    }

    /** Guards against a folder of unknown origin replacing the fleet's configuration. */
    @Test
    void applyWithoutABaseRevisionIsRefusedIfTheStoreHasARevision() {
        runOnStore("apply", folder.toString());
        assertThat(runOnStore("apply", "../samples/jalsetu")).isEqualTo(ExitCode.USAGE);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("pull");
    }

    /** Guards against success being reported while a daemon still has the old revision. */
    @Test
    void daemonWithoutTheRevisionIsNamed() {
        fleetClient.reportedRevision = 0;
        assertThat(runOnStore("apply", folder.toString(), "--wait", "0")).isEqualTo(ExitCode.PROBLEMS);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("d-1: has revision 0");
    }

    /** Guards against an emergency command, such as drain, that fails because of a concurrent edit of another field. */
    @Test
    void concurrentEditOfAnotherFieldIsKept() {
        runOnStore("apply", folder.toString());
        ConfigurationEditor other = new ConfigurationEditor(new ConfigurationStore(fleetClient, () -> 0));
        fleetClient.beforeNextSwap = () -> other.edit(ConfigurationEdits.setInService("cordoba", false), "bela");
        assertThat(runOnStore("drain", "contratos-1")).isEqualTo(ExitCode.DONE);
        assertThat(currentConfiguration().dataCentres().get("cordoba").inService())
                .isFalse();
        assertThat(currentConfiguration()
                        .pools()
                        .get("contratos")
                        .targets()
                        .get("contratos-1")
                        .drained())
                .isTrue();
    }

    /** Guards against two operators who add different keys under one name, where the second would replace the first. */
    @Test
    void concurrentEditOfTheSameFieldIsAConflict() {
        runOnStore("apply", folder.toString());
        ConfigurationEditor other = new ConfigurationEditor(new ConfigurationStore(fleetClient, () -> 0));
        String digest = new AccessKey("other").digest();
        fleetClient.beforeNextSwap = () ->
                other.edit(ConfigurationEdits.setKey("radio-litoral", "spare", java.util.Optional.of(digest)), "bela");
        assertThat(runOnStore("key", "add", "radio-litoral", "spare")).isEqualTo(ExitCode.CONFLICT);
        assertThat(output.toString(StandardCharsets.UTF_8)).isEmpty();
        assertThat(currentConfiguration().organisations().get("radio-litoral").keys())
                .containsEntry("spare", digest);
    }

    /** Guards against an access key that is stored in clear text. */
    @Test
    void addedKeyIsPrintedAndOnlyItsDigestIsStored() {
        runOnStore("apply", folder.toString());
        assertThat(runOnStore("key", "add", "radio-litoral", "spare")).isEqualTo(ExitCode.DONE);
        String key = output.toString(StandardCharsets.UTF_8).lines().findFirst().get();
        assertThat(currentConfiguration().organisations().get("radio-litoral").keys())
                .containsEntry("spare", new AccessKey(key).digest());
        assertThat(runOnStore("key", "withdraw", "radio-litoral", "spare")).isEqualTo(ExitCode.DONE);
    }

    /** Guards against a status that hides a target without a supervisor, or has lines wider than a terminal. */
    @Test
    void statusListsProblemsWithin80Columns() {
        runOnStore("apply", folder.toString(), "--note", "n".repeat(100));
        assertThat(runOnStore("status")).isEqualTo(ExitCode.PROBLEMS);
        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text).contains("target contratos-1 (contratos): no daemon reports it");
        assertThat(text.lines().mapToInt(String::length).max().getAsInt()).isAtMost(80);
        assertThat(runOnStore("status", "--json")).isEqualTo(ExitCode.PROBLEMS);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("\"daemons\":[{\"id\":\"d-1\"");
    }

    /** Guards against wrong exit codes for usage and for folders with problems. */
    @Test
    void usageAndProblemsHaveTheirOwnExitCodes() {
        assertThat(run("check", "../samples/jalsetu")).isEqualTo(ExitCode.DONE);
        assertThat(run("check", folder.resolve("missing").toString())).isEqualTo(ExitCode.PROBLEMS);
        assertThat(run("turn")).isEqualTo(ExitCode.USAGE);
        assertThat(run()).isEqualTo(ExitCode.USAGE);
    }

    /** Guards against an argument that is lost on the way to the instance. */
    @Test
    void explainRoutePassesEachArgumentAndPrintsTheExplanation() {
        fleetClient.explanation = Either.right("outcome: send\n");
        assertThat(run(
                        "explain-route",
                        "--instance",
                        "127.0.0.1:1",
                        "--host",
                        "h",
                        "--path",
                        "/a b/",
                        "--method",
                        "POST",
                        "--header",
                        "A: 1",
                        "--header",
                        "B: 2",
                        "--key",
                        "7",
                        "--json"))
                .isEqualTo(ExitCode.DONE);
        assertThat(fleetClient.askedQuestion)
                .hasValue(new RouteQuestion("h", "/a b/", "POST", List.of("A: 1", "B: 2"), Optional.of("7"), true));
        assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo("outcome: send\n");
    }

    /** Guards against a mistyped argument and a lost instance that scripts can't tell apart. */
    @Test
    void explainRouteTellsABadArgumentFromALostInstance() {
        fleetClient.explanation = Either.left(new ExplainFailure(true, "argument 'key': expected an integer"));
        assertThat(run("explain-route", "--instance", "127.0.0.1:1", "--host", "h", "--path", "/"))
                .isEqualTo(ExitCode.USAGE);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("argument 'key'");
        fleetClient.explanation = Either.left(new ExplainFailure(false, "instance not reachable"));
        assertThat(run("explain-route", "--instance", "127.0.0.1:1", "--host", "h", "--path", "/"))
                .isEqualTo(ExitCode.UNREACHABLE);
    }
}
