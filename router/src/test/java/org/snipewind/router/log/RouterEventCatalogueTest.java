package org.snipewind.router.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against differences between the router's events and their catalogue in docs/events.md. */
final class RouterEventCatalogueTest {

    @Test
    void theCatalogueListsExactlyTheEvents() throws Exception {
        List<String> expected = Arrays.stream(RouterEvent.values())
                .map(event -> "| " + event.code() + " | " + event.wireName() + " | "
                        + event.level().name().toLowerCase(Locale.ROOT) + " |")
                .toList();
        List<String> documented = Files.readAllLines(Path.of("..", "docs", "events.md")).stream()
                .filter(line -> line.startsWith("| SW-5"))
                .map(line -> Arrays.stream(line.split("\\|")).limit(4).collect(Collectors.joining("|")) + "|")
                .toList();
        assertThat(documented).containsExactlyElementsIn(expected).inOrder();
    }

    @Test
    void everyEventIsUsed() throws Exception {
        StringBuilder code = new StringBuilder();
        for (Path sources : List.of(Path.of("src", "main", "java"), Path.of("..", "platform", "src", "main", "java"))) {
            try (Stream<Path> files = Files.walk(sources)) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    code.append(Files.readString(file));
                }
            }
        }
        for (RouterEvent event : RouterEvent.values()) {
            assertWithMessage(event.name())
                    .that(code.toString())
                    .containsMatch("RouterEvent\\." + event.name() + "\\b");
        }
    }
}
