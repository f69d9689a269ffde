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
final class InForceWait {

    private static final long POLL_MILLIS = 250;

    private final CommandContext context;

    InForceWait(CommandContext context) {
        this.context = context;
    }

    /** Returns the exit code, after printing which daemons are missing if there are any. */
    int waitFor(long revision, long seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Set<String> done = new HashSet<>();
        Map<String, String> missing = new TreeMap<>();
        while (true) {
            missing.clear();
            Collection<Member> members;
            try {
                members = context.fleet().members().values();
            } catch (StoreException failure) {
                context.errors()
                        .println("revision " + revision + " is accepted, but it is not known where it is in force: "
                                + failure.getMessage());
                return ExitCode.UNREACHABLE;
            }
            List<Member> waiting = members.stream()
                    .filter(member -> !done.contains(member.id()))
                    .toList();
            FleetStatus.read(context.platform(), waiting).forEach((id, answer) -> {
                if (answer.isRight() && answer.get().configurationRevision() >= revision) {
                    done.add(id);
                } else {
                    missing.put(id, reason(answer));
                }
            });
            if (missing.isEmpty()) {
                context.progress("");
                context.output()
                        .println(
                                members.isEmpty()
                                        ? "revision " + revision + " is accepted; no daemon is in the fleet"
                                        : "revision " + revision + " is in force on all " + members.size()
                                                + " daemons");
                return ExitCode.DONE;
            }
            if (System.nanoTime() >= end || !pause()) {
                break;
            }
            context.progress("waiting for revision " + revision + ": " + (members.size() - missing.size()) + " of "
                    + members.size() + " daemons");
        }
        context.progress("");
        context.errors().println("revision " + revision + " is accepted, but not in force on:");
        context.errors()
                .println(missing.entrySet().stream()
                        .map(daemon -> "  " + daemon.getKey() + ": " + daemon.getValue())
                        .collect(Collectors.joining(System.lineSeparator())));
        return ExitCode.PROBLEMS;
    }

    private static String reason(Either<String, DaemonStatus> answer) {
        return answer.fold(
                failure -> "does not answer (" + failure + ")",
                status -> "has revision " + status.configurationRevision());
    }

    private static boolean pause() {
        try {
            Thread.sleep(POLL_MILLIS);
            return true;
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
