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

/** The subcommands that only read from the store and the daemons: status, history and assignments. */
final class ReadCommands {

    private ReadCommands() {}

    static int status(CommandContext context, boolean json) {
        Optional<ConfigurationRevision> current = context.configurationStore().current();
        if (current.isEmpty()) {
            context.errors().println("the store has no configuration yet");
            return ExitCode.PROBLEMS;
        }
        FleetRecord fleet = context.readFleetRecord();
        Map<String, Either<String, DaemonStatus>> statuses = DaemonStatusReader.readAll(
                context.fleetClient(), fleet.members().values());
        StatusReport report = new StatusReport(current.get(), fleet, statuses);
        ResultWriter output = new ResultWriter(context.output());
        if (json) {
            Map<String, Object> document = new LinkedHashMap<>();
            document.put("revision", current.get().revision());
            document.put("troubles", report.problems());
            document.put(
                    "daemons",
                    statuses.values().stream().flatMap(Either::toJavaStream).toList());
            output.printJson(document);
        } else {
            report.lines().forEach(output::printLine);
        }
        return report.problems().isEmpty() ? ExitCode.DONE : ExitCode.PROBLEMS;
    }

    static int history(CommandContext context, int limit, boolean json) {
        List<ConfigurationRevision> revisions = context.configurationStore().history(limit);
        ResultWriter output = new ResultWriter(context.output());
        if (json) {
            output.printJson(revisions.stream()
                    .map(revision -> Map.of(
                            "revision", revision.revision(),
                            "author", revision.author(),
                            "note", revision.note(),
                            "acceptedAtEpochMillis", revision.acceptedAtEpochMillis()))
                    .toList());
        } else {
            revisions.forEach(revision -> output.printLine(revision.revision() + "  "
                    + Instant.ofEpochMilli(revision.acceptedAtEpochMillis()) + "  " + revision.author() + "  "
                    + revision.note()));
        }
        return ExitCode.DONE;
    }

    static int assignments(CommandContext context, Optional<String> pool, boolean json) {
        Optional<ConfigurationRevision> current = context.configurationStore().current();
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
            counts.put(name, countSlicesByOwner(context, name));
        }
        ResultWriter output = new ResultWriter(context.output());
        if (json) {
            output.printJson(counts);
        } else {
            counts.forEach((name, owners) -> {
                output.printLine(name);
                owners.forEach((owner, slices) -> output.printLine("  " + owner + ": " + slices + " slices"));
            });
        }
        return ExitCode.DONE;
    }

    private static Map<String, Integer> countSlicesByOwner(CommandContext context, String pool) {
        Optional<VersionedValue> value = context.readValue("assignment/" + pool);
        Map<String, Integer> counts = new TreeMap<>();
        if (value.isEmpty()) {
            return counts;
        }
        SliceTable table = context.fleetClient()
                .decodeSliceTable(value.get().content())
                .getOrElseThrow(reason ->
                        new StoreException("the slice table of " + pool + " cannot be read: " + reason, null));
        for (SliceOwnership slice : table.slices()) {
            counts.merge(slice.owner().orElse("(no owner)"), 1, Integer::sum);
            slice.releasing().ifPresent(target -> counts.merge("(releasing) " + target, 1, Integer::sum));
        }
        return counts;
    }
}
