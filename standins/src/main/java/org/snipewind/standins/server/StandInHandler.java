package org.snipewind.standins.server;

import java.util.concurrent.CompletableFuture;

/** Answers the requests to a stand-in. */
@FunctionalInterface
public interface StandInHandler {

    /**
     * Answers a request.
     *
     * @param request the request
     * @return the answer; it never completes if the connection was dropped or no answer is to be sent
     */
    CompletableFuture<StandInResponse> handle(StandInRequest request);
}
