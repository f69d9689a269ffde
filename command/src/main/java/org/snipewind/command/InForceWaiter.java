package org.snipewind.command;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.StoreException;
import org.snipewind.coordination.fleet.Member;

/** Waits until a revision is in force on all daemons of the fleet record. */
final class InForceWaiter {

    private static final long POLL_INTERVAL_MILLIS = 250;

    private final CommandContext context;

    InForceWaiter(CommandContext context) {
        this.context = context;
    }

    /**
     * Waits until the revision is in force on all daemons or the time-out passes, prints the result with the daemons
     * that lack the revision, and returns the exit code.
     */
    int await(long revision, long timeoutSeconds) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        Set<String> confirmed = new HashSet<>();
        Map<String, String> pendingReasons = new TreeMap<>();
        while (true) {
            pendingReasons.clear();
            Collection<Member> members;
            try {
                members = context.readFleetRecord().members().values();
            } catch (StoreException failure) {
                context.errors()
                        .println("revision " + revision + " is accepted, but it is not known where it is in force: "
                                + failure.getMessage());
                return ExitCode.UNREACHABLE;
            }
            List<Member> pending = members.stream()
                    .filter(member -> !confirmed.contains(member.id()))
                    .toList();
            DaemonStatusReader.readAll(context.fleetClient(), pending).forEach((id, result) -> {
                if (result.isRight() && result.get().configurationRevision() >= revision) {
                    confirmed.add(id);
                } else {
                    pendingReasons.put(id, pendingReason(result));
                }
            });
            if (pendingReasons.isEmpty()) {
                context.showProgress("");
                context.output()
                        .println(
                                members.isEmpty()
                                        ? "revision " + revision + " is accepted; no daemon is in the fleet"
                                        : "revision " + revision + " is in force on all " + members.size()
                                                + " daemons");
                return ExitCode.DONE;
            }
            if (System.nanoTime() >= deadlineNanos || !pause()) {
                break;
            }
            context.showProgress("waiting for revision " + revision + ": " + (members.size() - pendingReasons.size())
                    + " of " + members.size() + " daemons");
        }
        context.showProgress("");
        context.errors().println("revision " + revision + " is accepted, but not in force on:");
        context.errors()
                .println(pendingReasons.entrySet().stream()
                        .map(daemon -> "  " + daemon.getKey() + ": " + daemon.getValue())
                        .collect(Collectors.joining(System.lineSeparator())));
        return ExitCode.PROBLEMS;
    }

    private static String pendingReason(Either<String, DaemonStatus> result) {
        return result.fold(
                failure -> "does not answer (" + failure + ")",
                status -> "has revision " + status.configurationRevision());
    }

    private static boolean pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            return true;
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
