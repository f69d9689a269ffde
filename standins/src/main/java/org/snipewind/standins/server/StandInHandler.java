package org.snipewind.standins.server;

import java.util.concurrent.CompletableFuture;

/** Handles the requests to a stand-in. */
@FunctionalInterface
public interface StandInHandler {

    /**
     * Handles a request.
     *
     * @param request the request
     * @return the response; never completes if the connection was closed or no response is to be sent
     */
    CompletableFuture<StandInResponse> handle(StandInRequest request);
}
