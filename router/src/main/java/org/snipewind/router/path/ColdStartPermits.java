package org.snipewind.router.path;

import java.util.function.BiPredicate;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.TargetState;

/**
 * Access to the permits for requests to targets in cold start.
 *
 * @param available returns whether there is a permit for a target of a pool
 * @param acquire acquires a permit, false if there is none
 */
record ColdStartPermits(BiPredicate<Pool, TargetState> available, BiPredicate<Pool, TargetState> acquire) {

    /** Returns the access of requests, which take the permits. */
    static ColdStartPermits taken(SharedRoutingState state) {
        return new ColdStartPermits(
                (pool, target) -> state.coldStartLimiter(pool, target).canAcquire(),
                (pool, target) -> state.coldStartLimiter(pool, target).tryAcquire());
    }

    /** Returns the access of explanations, which leave the permits and create no limiter. */
    static ColdStartPermits untouched(SharedRoutingState state) {
        return new ColdStartPermits(state::hasColdStartPermit, state::hasColdStartPermit);
    }
}
