package org.snipewind.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;

/** The number of file descriptors that the process may have open. */
final class DescriptorLimit {

    /** Assumed if the system does not tell; the usual limit of a process. */
    private static final long DEFAULT_DESCRIPTORS = 1_024;

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String NAME = "Max open files";

    private DescriptorLimit() {}

    /** Returns the limit; reading it from the system takes less memory than loading the Java runtime's management. */
    static long read(RouterEventLog log) {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.filter(line -> line.startsWith(NAME))
                    .map(line -> line.substring(NAME.length()).strip().split("\\s+")[0])
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElse(DEFAULT_DESCRIPTORS);
        } catch (IOException | NumberFormatException e) {
            log.write(
                    RouterEvent.DESCRIPTOR_LIMIT_UNKNOWN,
                    () -> "assumed=" + DEFAULT_DESCRIPTORS + " cause=" + e.getMessage());
            return DEFAULT_DESCRIPTORS;
        }
    }
}
