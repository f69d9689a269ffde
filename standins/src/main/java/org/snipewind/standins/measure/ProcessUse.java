package org.snipewind.standins.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.snipewind.standins.deployment.DaemonHandle;

/** Reads what the processes of daemons use. */
final class ProcessUse {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private ProcessUse() {}

    static double cpuSeconds(List<DaemonHandle> daemons) {
        return processes(daemons).stream()
                .map(id -> ProcessHandle.of(id)
                        .flatMap(process -> process.info().totalCpuDuration())
                        .orElse(Duration.ZERO))
                .mapToDouble(duration -> duration.toNanos() / NANOS_PER_SECOND)
                .sum();
    }

    /** Live objects of all processes, after a full collection that the histogram triggers. */
    static double liveMegabytes(List<DaemonHandle> daemons) {
        return processes(daemons).stream()
                .mapToDouble(ProcessUse::liveMegabytes)
                .sum();
    }

    private static List<Long> processes(List<DaemonHandle> daemons) {
        return daemons.stream().map(daemon -> daemon.process().pid()).distinct().toList();
    }

    private static double liveMegabytes(long processId) {
        String program = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        try {
            Process process = new ProcessBuilder(program, String.valueOf(processId), "GC.class_histogram")
                    .redirectErrorStream(true)
                    .start();
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            String total = text.lines()
                    .filter(line -> line.startsWith("Total"))
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("no histogram of process " + processId));
            return Long.parseLong(total.trim().split("\\s+")[2]) / BYTES_PER_MEGABYTE;
        } catch (IOException e) {
            throw new UncheckedIOException("jcmd could not be run", e);
        }
    }
}
