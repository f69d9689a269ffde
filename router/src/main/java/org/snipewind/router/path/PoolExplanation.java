package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.target.TargetState;

/**
 * Where a request to an undivided pool would be sent, and why.
 *
 * @param result the target, or the reason why there is none
 * @param targets all registered targets of the pool
 */
record PoolExplanation(Either<NoTarget, TargetState> result, List<PoolExplanation.ExplainedTarget> targets) {

    /**
     * A registered target of the pool.
     *
     * @param state the state of the target
     * @param expectedMillis its expected response time
     * @param score the score that was compared, the lowest is selected; empty if the target was passed over before
     * @param reason "selected", or why it was passed over
     */
    record ExplainedTarget(TargetState state, double expectedMillis, Optional<Double> score, String reason) {}
}
