package org.snipewind.command;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.StoreException;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceOwnership;
import org.snipewind.coordination.ownership.SliceTable;

/** The subcommands that change nothing in the store: status, history and assignments. */
final class ReadCommands {

    private ReadCommands() {}

    static int status(CommandContext context, boolean json) {
        Optional<ConfigurationRevision> current = context.revisions().current();
        if (current.isEmpty()) {
            context.errors().println("the store has no configuration yet");
            return ExitCode.PROBLEMS;
        }
        FleetRecord fleet = context.fleet();
        Map<String, Either<String, DaemonStatus>> answers =
                FleetStatus.read(context.platform(), fleet.members().values());
        StatusReport report = new StatusReport(current.get(), fleet, answers);
        Output output = new Output(context.output());
        if (json) {
            Map<String, Object> document = new LinkedHashMap<>();
            document.put("revision", current.get().revision());
            document.put("troubles", report.troubles());
            document.put(
                    "daemons",
                    answers.values().stream().flatMap(Either::toJavaStream).toList());
            output.json(document);
        } else {
            report.lines().forEach(output::line);
        }
        return report.troubles().isEmpty() ? ExitCode.DONE : ExitCode.PROBLEMS;
    }

    static int history(CommandContext context, int limit, boolean json) {
        List<ConfigurationRevision> revisions = context.revisions().history(limit);
        Output output = new Output(context.output());
        if (json) {
            output.json(revisions.stream()
                    .map(revision -> Map.of(
                            "revision", revision.revision(),
                            "author", revision.author(),
                            "note", revision.note(),
                            "acceptedAtEpochMillis", revision.acceptedAtEpochMillis()))
                    .toList());
        } else {
            revisions.forEach(revision -> output.line(revision.revision() + "  "
                    + Instant.ofEpochMilli(revision.acceptedAtEpochMillis()) + "  " + revision.author() + "  "
                    + revision.note()));
        }
        return ExitCode.DONE;
    }

    static int assignments(CommandContext context, Optional<String> pool, boolean json) {
        Optional<ConfigurationRevision> current = context.revisions().current();
        List<String> pools = current.map(revision -> revision.configuration().pools().entrySet().stream()
                        .filter(entry -> entry.getValue().divided())
                        .map(Map.Entry::getKey)
                        .filter(name -> pool.isEmpty() || pool.get().equals(name))
                        .toList())
                .orElse(List.of());
        if (pool.isPresent() && pools.isEmpty()) {
            context.errors().println("there is no divided pool " + pool.get());
            return ExitCode.USAGE;
        }
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (String name : pools) {
            counts.put(name, slicesByOwner(context, name));
        }
        Output output = new Output(context.output());
        if (json) {
            output.json(counts);
        } else {
            counts.forEach((name, owners) -> {
                output.line(name);
                owners.forEach((owner, slices) -> output.line("  " + owner + ": " + slices + " slices"));
            });
        }
        return ExitCode.DONE;
    }

    private static Map<String, Integer> slicesByOwner(CommandContext context, String pool) {
        Optional<VersionedValue> value = context.read("assignment/" + pool);
        Map<String, Integer> counts = new TreeMap<>();
        if (value.isEmpty()) {
            return counts;
        }
        SliceTable table = context.platform()
                .decodeSliceTable(value.get().content())
                .getOrElseThrow(
                        reason -> new StoreException("the table of " + pool + " is unreadable: " + reason, null));
        for (SliceOwnership slice : table.slices()) {
            counts.merge(slice.owner().orElse("(no owner)"), 1, Integer::sum);
            slice.releasing().ifPresent(target -> counts.merge("(releasing) " + target, 1, Integer::sum));
        }
        return counts;
    }
}
