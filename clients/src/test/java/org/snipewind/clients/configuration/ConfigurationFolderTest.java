package org.snipewind.clients.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationFolderTest {

    private static final String DIGEST = "ab".repeat(32);
    private static final String VALID = """
            dataCentres:
              rosario: {region: central}
            pools:
              reels:
                divided: true
                slots: 2
                targets:
                  reels-1: {address: "127.0.0.1:9101", dataCentre: rosario}
                  reels-2: {address: "127.0.0.1:9102", dataCentre: rosario}
              plain:
                slots: 2
                targets:
                  plain-1: {address: "127.0.0.1:9103", dataCentre: rosario}
            routes:
              reels:
                path: /reels
                pool: reels
                key: path 2
              plain:
                path: /plain
                pool: plain
                idempotentMethods: [GET]
            organisations:
              norte:
                rate: 10
                burst: 20
                keys:
                  main: DIGEST
              sur: {rate: 10, burst: 20, keys: {}}
            """.replace("DIGEST", DIGEST);

    @TempDir
    private Path folder;

    /** Guards against a problem that is accepted, or reported without its file, line and field. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "divided: true|dividet: true|5|pools.reels.dividet|unknown field",
                "slots: 2|slots: two|6|pools.reels.slots|wrong type",
                "slots: 2|slots: 0|6|pools.reels.slots|out of range",
                "slots: 2|coldStart: {}|4|pools.reels.slots|missing",
                "dataCentre: rosario}|dataCentre: cuyo}|8|pools.reels.targets.reels-1.dataCentre|unknown data centre",
                "pool: plain|pool: other|21|routes.plain.pool|unknown pool",
                "divided: true|divided: true ; divided: false|6|pools.reels.divided|already on line 5",
                "key: path 2|urgent: false|15|routes.reels.key|is divided by key",
                "pool: plain|pool: plain ; key: path 1|22|routes.plain.key|not divided",
                "plain-1:|reels-1:|8|pools.reels.targets.reels-1|already at",
                "127.0.0.1:9103|127.0.0.1:9101|8|pools.reels.targets.reels-1.address|already at",
                "127.0.0.1:9103|localhost:9103|13|pools.plain.targets.plain-1.address|not an address",
                "127.0.0.1:9103|127.0.0.1:99999|13|pools.plain.targets.plain-1.address|not an address",
                "path: /plain|path: plain|20|routes.plain.path|not a path prefix",
                "path: /plain|path: /reels|16|routes.reels.path|same path",
                "[GET]|[FETCH]|22|routes.plain.idempotentMethods|not a known method",
                "rate: 10|rate: 0|25|organisations.norte.rate|out of range",
                "burst: 20|burst: 0|26|organisations.norte.burst|out of range",
                "rate: 10|weight: 0 ; rate: 10|25|organisations.norte.weight|out of range",
                "main: ab|main: xy|28|organisations.norte.keys.main|not a digest",
                "keys: {}|keys: {main: DIGEST}|29|organisations.sur.keys.main|same digest",
                "rosario: {|Rosario: {|2|dataCentres.Rosario|not a name",
                "key: path 2|key: body 2|18|routes.reels.key|not a place",
                "pool: plain|pool: plain ; urgent: yes|22|routes.plain.urgent|ambiguous",
            })
    void problemIsReportedWithItsFileLineAndField(
            String original, String invalid, int line, String field, String message) throws IOException {
        String replacement = invalid.replace("DIGEST", DIGEST);
        int start = VALID.indexOf(original);
        int column = start - VALID.lastIndexOf('\n', start) - 1;
        replacement = replacement.replace(" ; ", "\n" + " ".repeat(column));
        Files.writeString(
                folder.resolve("all.yaml"),
                VALID.substring(0, start) + replacement + VALID.substring(start + original.length()));
        List<ConfigurationProblem> problems = ConfigurationFolder.read(folder).getLeft();
        assertWithMessage(problems.toString())
                .that(problems.stream()
                        .anyMatch(problem -> problem.line() == line
                                && problem.field().equals(field)
                                && problem.message().contains(message)))
                .isTrue();
    }

    /** Guards against samples and defaults that the validation rejects. */
    @ParameterizedTest
    @ValueSource(strings = {"../samples/voces-del-plata", "../samples/jalsetu"})
    void sampleIsValidAndUnchangedAfterWritingAndReading(String sample) throws IOException {
        FleetConfiguration read = ConfigurationFolder.read(Path.of(sample)).get();
        assertThat(read.organisations()).hasSize(8);
        ConfigurationFolder.write(read, folder);
        assertThat(ConfigurationFolder.read(folder).get()).isEqualTo(read);
    }

    /** Guards against merging files in an order other than that of their names, and against lost fields. */
    @Test
    void laterFileReplacesScalarsAndKeepsOtherFields() throws IOException {
        Files.writeString(folder.resolve("10.yaml"), VALID);
        Files.writeString(folder.resolve("20.yml"), "pools:\n  plain: {slots: 7}\ndataCentres:\n");
        FleetConfiguration read = ConfigurationFolder.read(folder).get();
        assertThat(read.pools().get("plain").slots()).isEqualTo(7);
        assertThat(read.pools().get("plain").targets()).hasSize(1);
        assertThat(read.dataCentres()).hasSize(1);
    }

    /** Guards against a reader that stops at the first problem or at a file that is not valid YAML. */
    @Test
    void allProblemsOfAllFilesAreReported() throws IOException {
        Files.writeString(folder.resolve("10.yaml"), VALID.replace("slots: 2", "slots: -1"));
        Files.writeString(folder.resolve("20.yaml"), "pools: [\n");
        Files.writeString(folder.resolve("30.yaml"), "extra: 1\n");
        List<ConfigurationProblem> problems = ConfigurationFolder.read(folder).getLeft();
        assertThat(problems.stream().map(ConfigurationProblem::file).toList())
                .containsExactly("10.yaml", "10.yaml", "20.yaml", "30.yaml")
                .inOrder();
        assertThat(problems.get(3).toString()).startsWith("30.yaml:1: extra: unknown field, expected one of");
    }
}
