package org.snipewind.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsFileTest {

    private static final String VALID = """
            name: daemon-1
            region: west
            dataCentre: north
            callers: {host: 127.0.0.1, port: 1}
            operators: {host: 127.0.0.1, port: 2}
            peers: {host: 127.0.0.1, port: 3}
            secret: an-example-secret-0123456789
            store: {addresses: ["127.0.0.1:4"]}
            """;

    // Guards against invalid settings that are accepted, or reported without file, field and expected value.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name: daemon-1 | name: 5 | name: expected a text",
                "name: daemon-1 | # | name: missing, expected a text",
                "name: daemon-1 | nam: daemon-1 | nam: unknown field, expected one of",
                "port: 1} | port: 70000} | callers.port: expected a whole number from 0 to 65535, found 70000",
                "port: 1} | port: one} | callers.port: expected a whole number from 0 to 65535",
                "port: 1} | prt: 1} | callers.prt: unknown field",
                "callers: {host: 127.0.0.1, port: 1} | # | callers: missing, expected a mapping",
                "callers: {host: 127.0.0.1, port: 1} | callers: 5 | callers: expected a mapping",
                "an-example-secret-0123456789 | short | secret: expected a text of at least 16 characters",
                "'[\"127.0.0.1:4\"]' | [] | store.addresses: missing, expected a list",
                "127.0.0.1:4 | store:4 | store.addresses: expected an address as IP:PORT",
                "region: west | 'region: west\npolicy: {hedging: maybe}' | policy.hedging: expected true or false",
                "region: west | 'region: west\nlog: {format: xml}' | log.format: expected json or text, found xml",
                "region: west | 'region: {' | (whole file): not valid YAML"
            })
    void anInvalidFieldIsReportedInOneLine(String valid, String invalid, String message) {
        assertThat(VALID).contains(valid);
        SettingsException exception = assertThrows(
                SettingsException.class, () -> SettingsFile.parse("daemon.yaml", VALID.replace(valid, invalid)));
        assertThat(exception).hasMessageThat().startsWith("daemon.yaml: " + message);
        assertThat(exception).hasMessageThat().doesNotContain("\n");
    }

    // Guards against an example in the documentation that the daemon rejects.
    @Test
    void theDocumentedExampleIsValid() throws Exception {
        String documentation = Files.readString(Path.of("..", "docs", "configuration.md"));
        Matcher example = Pattern.compile("## Settings of the daemon.*?```yaml\n(.*?)```", Pattern.DOTALL)
                .matcher(documentation);
        assertThat(example.find()).isTrue();
        DaemonSettings settings = SettingsFile.parse("example", example.group(1));
        assertThat(settings.limits()).isEqualTo(RequestLimits.DEFAULT);
        assertThat(settings.shutdownGraceMillis()).isEqualTo(DaemonSettings.DEFAULT_SHUTDOWN_GRACE_MILLIS);
        assertThat(settings.tls()).isPresent();
    }
}
