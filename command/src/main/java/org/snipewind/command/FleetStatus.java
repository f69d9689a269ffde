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

/** Asks daemons for their status, several at a time. */
final class FleetStatus {

    /** Bounds the connections of one command; each call ends within 2 s even if a daemon does not answer. */
    private static final int CALLS_AT_A_TIME = 32;

    private FleetStatus() {}

    static Map<String, Either<String, DaemonStatus>> read(Platform platform, Collection<Member> members) {
        if (members.isEmpty()) {
            return Map.of();
        }
        ExecutorService workers = Executors.newFixedThreadPool(Math.min(CALLS_AT_A_TIME, members.size()));
        try {
            Map<String, CompletableFuture<Either<String, DaemonStatus>>> calls = new LinkedHashMap<>();
            for (Member member : members) {
                calls.put(
                        member.id(),
                        CompletableFuture.supplyAsync(() -> platform.status(member.operatorAddress()), workers));
            }
            Map<String, Either<String, DaemonStatus>> answers = new LinkedHashMap<>();
            calls.forEach((id, call) -> answers.put(id, call.join()));
            return answers;
        } finally {
            workers.shutdown();
        }
    }
}
