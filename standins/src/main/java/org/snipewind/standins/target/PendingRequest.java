package org.snipewind.standins.target;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.target.TargetHeaders;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/** A request that waits for a slot or runs. */
final class PendingRequest {

    static final int NOT_STARTED = -1;
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    final StandInRequest request;
    final String id;
    final OptionalInt slice;
    final long token;
    final long deadlineMillis;
    final long serviceMillis;
    final CompletableFuture<StandInResponse> response = new CompletableFuture<>();
    int recordIndex = NOT_STARTED;
    long endsAtMillis;
    boolean isCancelled;

    PendingRequest(StandInRequest request, long nowMillis, long defaultServiceMillis) {
        this.request = request;
        id = request.header(TargetHeaders.REQUEST).orElse("");
        slice = request.header(TargetHeaders.SLICE)
                .map(text -> OptionalInt.of(Integer.parseInt(text)))
                .orElse(OptionalInt.empty());
        token = request.header(TargetHeaders.TOKEN).map(Long::valueOf).orElse(-1L);
        deadlineMillis = nowMillis
                + request.header(TargetHeaders.DEADLINE).map(Long::valueOf).orElse(DEFAULT_DEADLINE_MILLIS);
        serviceMillis = request.header("Service-Millis").map(Long::valueOf).orElse(defaultServiceMillis);
    }
}
