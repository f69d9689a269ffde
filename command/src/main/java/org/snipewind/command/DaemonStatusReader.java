package org.snipewind.command;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.coordination.fleet.Member;

/** Reads the status of several daemons concurrently. */
final class DaemonStatusReader {

    /** Limits the connections of one command. Each call ends within 2 s, even if the daemon does not respond. */
    private static final int MAX_CONCURRENT_CALLS = 32;

    private DaemonStatusReader() {}

    /** Returns the status of each daemon, or the reason why it could not be read, by member id. */
    static Map<String, Either<String, DaemonStatus>> readAll(FleetClient fleetClient, Collection<Member> members) {
        if (members.isEmpty()) {
            return Map.of();
        }
        ExecutorService workers = Executors.newFixedThreadPool(Math.min(MAX_CONCURRENT_CALLS, members.size()));
        try {
            Map<String, CompletableFuture<Either<String, DaemonStatus>>> calls = new LinkedHashMap<>();
            for (Member member : members) {
                calls.put(
                        member.id(),
                        CompletableFuture.supplyAsync(() -> fleetClient.readStatus(member.operatorAddress()), workers));
            }
            Map<String, Either<String, DaemonStatus>> statuses = new LinkedHashMap<>();
            calls.forEach((id, call) -> statuses.put(id, call.join()));
            return statuses;
        } finally {
            workers.shutdown();
        }
    }
}
