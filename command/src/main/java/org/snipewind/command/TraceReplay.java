package org.snipewind.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipewind.command.replay.LatencySummary;
import org.snipewind.command.replay.ReplayEngine;
import org.snipewind.command.replay.ReplayOptions;
import org.snipewind.command.replay.ReplayProgressListener;
import org.snipewind.command.replay.ReplayResult;
import org.snipewind.command.replay.ReplaySummary;
import org.snipewind.command.replay.TraceFile;
import org.snipewind.command.replay.TraceRequest;

/** Replays a trace of requests against entry instances and prints a summary of the outcomes. */
final class TraceReplay {

    private static final int PROGRESS_UPDATES = 100;

    private final PrintStream output;
    private final PrintStream errors;
    private final boolean interactive;

    TraceReplay(PrintStream output, PrintStream errors, boolean interactive) {
        this.output = output;
        this.errors = errors;
        this.interactive = interactive;
    }

    /** Sends the requests of the trace at their intended times and returns the exit code. */
    int replay(Path trace, ReplayOptions options, boolean json) throws IOException {
        List<TraceRequest> requests = TraceFile.read(trace);
        try (ReplayEngine engine = new ReplayEngine(options)) {
            List<ReplayResult> results = engine.replay(requests, progressListener());
            ReplaySummary summary = ReplaySummary.of(results);
            if (json) {
                new ResultWriter(output).printJson(summary);
            } else {
                print(summary);
            }
            return summary.answers() == 0 && !requests.isEmpty() ? ExitCode.UNREACHABLE : ExitCode.DONE;
        }
    }

    private ReplayProgressListener progressListener() {
        if (!interactive) {
            return ReplayProgressListener.NONE;
        }
        return (sent, total) -> {
            if (sent == total) {
                errors.printf("\rsent %d of %d%n", sent, total);
            } else if (sent % Math.max(1, total / PROGRESS_UPDATES) == 0) {
                errors.printf("\rsent %d of %d", sent, total);
            }
        };
    }

    private void print(ReplaySummary summary) {
        printLine("requests %d, answers %d", summary.requests(), summary.answers());
        printCounts("answers with status", summary.answersByStatus());
        printCounts("not run", summary.refusals());
        printCounts("unknown", summary.unknown());
        printCounts("ran without answer", summary.ran());
        printLatency("latency of all", summary.latency());
        printLatency("latency of urgent", summary.urgentLatency());
        summary.shareInTime()
                .forEach((organisation, fraction) -> printLine(
                        "answered in time: %s %.2f%%",
                        organisation.isEmpty() ? "(open)" : organisation, fraction * 100));
    }

    private void printCounts(String label, Map<String, Long> counts) {
        counts.forEach((name, count) -> printLine("%s %s: %d", label, name, count));
    }

    private void printLatency(String label, LatencySummary latency) {
        printLine(
                "%s (ms): p50 %.1f, p99 %.1f, p99.9 %.1f, max %.1f",
                label, latency.p50Millis(), latency.p99Millis(), latency.p999Millis(), latency.maxMillis());
    }

    private void printLine(String format, Object... values) {
        output.println(String.format(Locale.ROOT, format, values));
    }
}
