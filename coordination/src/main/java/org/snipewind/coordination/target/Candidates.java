package org.snipewind.coordination.target;

import java.util.List;
import java.util.function.Predicate;
import org.snipewind.coordination.target.LeastResponseTimeSelector.ScoreObserver;

/**
 * The targets from which one is selected for a request.
 *
 * @param targets targets in service
 * @param allowed whether the request may be sent to a target now
 * @param connected whether the request could use an open connection to a target
 * @param observer receives the scores of the targets that are compared
 */
public record Candidates(
        List<TargetState> targets,
        Predicate<TargetState> allowed,
        Predicate<TargetState> connected,
        ScoreObserver observer) {

    /**
     * Creates candidates whose scores nobody receives.
     *
     * @param targets targets in service
     * @param allowed whether the request may be sent to a target now
     * @param connected whether the request could use an open connection to a target
     */
    public Candidates(List<TargetState> targets, Predicate<TargetState> allowed, Predicate<TargetState> connected) {
        this(targets, allowed, connected, ScoreObserver.NONE);
    }
}
