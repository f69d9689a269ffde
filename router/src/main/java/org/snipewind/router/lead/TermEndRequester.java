package org.snipewind.router.lead;

import java.util.concurrent.CompletableFuture;
import org.snipewind.router.state.LeaderRecord;

/** Asks a former leader to end its term. */
@FunctionalInterface
public interface TermEndRequester {

    /**
     * Asks.
     *
     * @param former the former leader with the lease that was ended
     * @return whether it does not act under that lease any more; fails if it gives no answer
     */
    CompletableFuture<Boolean> request(LeaderRecord former);
}
