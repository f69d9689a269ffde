package org.snipewind.standins.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.snipewind.standins.deployment.DaemonHandle;

/** Reads CPU time and memory usage of the processes of daemons. */
final class ProcessUsage {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private ProcessUsage() {}

    static double cpuSeconds(List<DaemonHandle> daemons) {
        return processIds(daemons).stream()
                .map(id -> ProcessHandle.of(id)
                        .flatMap(process -> process.info().totalCpuDuration())
                        .orElse(Duration.ZERO))
                .mapToDouble(duration -> duration.toNanos() / NANOS_PER_SECOND)
                .sum();
    }

    /** Returns the size of the live objects of all processes; the class histogram first runs a full collection. */
    static double liveMegabytes(List<DaemonHandle> daemons) {
        return processIds(daemons).stream()
                .mapToDouble(ProcessUsage::liveMegabytes)
                .sum();
    }

    private static List<Long> processIds(List<DaemonHandle> daemons) {
        return daemons.stream().map(daemon -> daemon.process().pid()).distinct().toList();
    }

    private static double liveMegabytes(long processId) {
        String program = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        try {
            Process process = new ProcessBuilder(program, String.valueOf(processId), "GC.class_histogram")
                    .redirectErrorStream(true)
                    .start();
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            String totalLine = text.lines()
                    .filter(line -> line.startsWith("Total"))
                    .findFirst()
                    .orElseThrow(
                            () -> new IllegalStateException("jcmd printed no class histogram of process " + processId));
            return Long.parseLong(totalLine.trim().split("\\s+")[2]) / BYTES_PER_MEGABYTE;
        } catch (IOException e) {
            throw new UncheckedIOException("jcmd could not be run", e);
        }
    }
}
