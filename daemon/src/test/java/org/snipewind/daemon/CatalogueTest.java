package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.daemon.log.LogEvent;

class CatalogueTest {

    // Guards against a documented catalogue that lacks an event, lists an unknown one, or gives a wrong code or level.
    @Test
    void theEventCatalogueMatchesTheEvents() throws Exception {
        List<String> expected = Arrays.stream(LogEvent.values())
                .map(event -> event.code() + " | " + event.wireName() + " | "
                        + event.level().name().toLowerCase(java.util.Locale.ROOT))
                .toList();
        List<String> written = rows("events.md", "| SW-", 3).stream()
                // The router's events are tested in the router module.
                .filter(row -> !row.startsWith("SW-5"))
                .toList();
        assertThat(written).containsExactlyElementsIn(expected).inOrder();
    }

    // Guards against a documented catalogue that lacks an error kind, lists an unknown one, or gives a wrong outcome.
    @Test
    void theErrorCatalogueMatchesTheErrorKinds() throws Exception {
        List<String> expected = Arrays.stream(ErrorKind.values())
                .map(kind -> "`" + kind.wireName() + "` | " + kind.status() + " | "
                        + kind.execution().wireName() + " | " + (kind.isRetryable() ? "yes" : "no"))
                .toList();
        assertThat(rows("errors.md", "| `", 4))
                .containsExactlyElementsIn(expected)
                .inOrder();
    }

    // Guards against documented events that the code never logs.
    @Test
    void everyEventIsWrittenSomewhere() throws Exception {
        StringBuilder code = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src", "main", "java"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                code.append(Files.readString(file));
            }
        }
        for (LogEvent event : LogEvent.values()) {
            assertWithMessage(event.name()).that(code.toString()).containsMatch("LogEvent\\." + event.name() + "\\b");
        }
    }

    private static List<String> rows(String page, String start, int cells) throws IOException {
        return Files.readAllLines(Path.of("..", "docs", page)).stream()
                .filter(line -> line.startsWith(start))
                .map(line -> String.join(
                        " | ",
                        Arrays.stream(line.split("\\|"))
                                .map(String::trim)
                                .skip(1)
                                .limit(cells)
                                .toList()))
                .toList();
    }
}
