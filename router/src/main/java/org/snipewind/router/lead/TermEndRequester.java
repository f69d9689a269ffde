package org.snipewind.router.lead;

import java.util.concurrent.CompletableFuture;
import org.snipewind.router.state.LeaderRecord;

/** Sends a former leader the request to end its term. */
@FunctionalInterface
public interface TermEndRequester {

    /**
     * Sends the request.
     *
     * @param formerLeader the former leader with its lease, which has been ended
     * @return completes with whether it does not act under that lease any more; fails if it does not respond
     */
    CompletableFuture<Boolean> request(LeaderRecord formerLeader);
}
