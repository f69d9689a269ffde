package org.snipewind.coordination.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Selects the target of an undivided pool that has the shortest expected response time.
 *
 * <p>Random jitter is added to each estimate, so that not all instances select the same target at the same time. That
 * is not enough if they share their observations, see {@link SharedSelection}.
 */
public final class LeastResponseTimeSelector {

    /**
     * Maximum number of targets compared, separately for those with and without a connection. More would not improve
     * the selection, and would take time in large pools.
     */
    private static final int MAX_COMPARED = 8;

    /**
     * Cost of a new connection as response time: a round trip, brief use of a slot at the target, and processor time of
     * this instance, which is scarce on small instances.
     */
    private static final double CONNECT_COST_MILLIS = 5;

    /** Maximum cost of a connection as a fraction of the expected time, so that targets that have joined are tried. */
    private static final double MAX_CONNECT_COST_FRACTION = 0.1;

    /** Width of the interval of the random jitter, as a fraction of the estimate. */
    private static final double ESTIMATE_JITTER = 0.2;

    /** Receives the score of each target that is compared. */
    @FunctionalInterface
    public interface ScoreObserver {

        /** Ignores all scores. */
        ScoreObserver NONE = (target, score) -> {};

        /**
         * Receives a score.
         *
         * @param target the target
         * @param score expected time in milliseconds with all additions; the lowest is chosen
         */
        void compared(TargetState target, double score);
    }

    private final String dataCentre;
    private final double remoteFactor;
    private final double remoteExtraMillis;
    private final DoubleSupplier random;
    private final SharedSelection sharedSelection;

    /**
     * Creates a selector.
     *
     * @param dataCentre data centre of this instance
     * @param remoteFactor factor by which the expected time of a target in another data centre is multiplied
     * @param remoteExtraMillis milliseconds that are then added for a target in another data centre
     * @param random source of uniformly distributed random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public LeastResponseTimeSelector(
            String dataCentre, double remoteFactor, double remoteExtraMillis, DoubleSupplier random) {
        this.dataCentre = dataCentre;
        this.remoteFactor = remoteFactor;
        this.remoteExtraMillis = remoteExtraMillis;
        this.random = random;
        this.sharedSelection = new SharedSelection(dataCentre, remoteFactor, remoteExtraMillis, random);
    }

    /**
     * Selects a target.
     *
     * @param targets targets in service
     * @param nowMillis current time
     * @param allowed whether a request may be sent to a target now
     * @param connected whether the request could use an open connection to a target
     * @return the target with the shortest expected time; a target that is paused after failures is selected only if
     *     there is no other
     */
    public Optional<TargetState> choose(
            List<TargetState> targets,
            long nowMillis,
            Predicate<TargetState> allowed,
            Predicate<TargetState> connected) {
        return choose(new Candidates(targets, allowed, connected), nowMillis);
    }

    /**
     * Selects a target and reports the scores that led to it.
     *
     * @param candidates the targets
     * @param nowMillis current time
     * @return the target with the shortest expected time; a target that is paused after failures is selected only if
     *     there is no other
     */
    public Optional<TargetState> choose(Candidates candidates, long nowMillis) {
        return best(candidates, nowMillis, false, target -> true)
                .or(() -> best(candidates, nowMillis, true, target -> true))
                .map(ScoredTarget::target);
    }

    /**
     * Returns the target with the shortest expected time among those that a request may be sent to.
     *
     * @param candidates the targets
     * @param nowMillis current time
     * @param paused whether to consider those that are paused after failures, instead of the others
     * @param place whether to consider a target because of its data centre
     */
    Optional<ScoredTarget> best(Candidates candidates, long nowMillis, boolean paused, Predicate<TargetState> place) {
        List<TargetState> targets = candidates.targets();
        if (SharedSelection.isShared(targets, nowMillis)) {
            return sharedSelection.choose(
                    candidates,
                    nowMillis,
                    candidate -> place.test(candidate) && candidate.isPaused(nowMillis) == paused);
        }
        int start = targets.isEmpty() ? 0 : (int) (random.getAsDouble() * targets.size());
        List<TargetState> connectedTargets = new ArrayList<>(MAX_COMPARED);
        List<TargetState> unconnectedTargets = new ArrayList<>(MAX_COMPARED);
        for (int offset = 0; offset < targets.size(); offset++) {
            TargetState candidate = targets.get((start + offset) % targets.size());
            if (!place.test(candidate)) {
                continue;
            }
            List<TargetState> compared = candidates.connected().test(candidate) ? connectedTargets : unconnectedTargets;
            if (compared.size() < MAX_COMPARED
                    && candidate.isPaused(nowMillis) == paused
                    && candidates.allowed().test(candidate)) {
                compared.add(candidate);
            }
        }
        double meanKnownMillis = meanKnownMillis(connectedTargets, unconnectedTargets);
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (TargetState candidate : connectedTargets) {
            double score = score(candidate, nowMillis, meanKnownMillis);
            candidates.observer().compared(candidate, score);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        for (TargetState candidate : unconnectedTargets) {
            double score = score(candidate, nowMillis, meanKnownMillis);
            score += Math.min(CONNECT_COST_MILLIS, score * MAX_CONNECT_COST_FRACTION);
            candidates.observer().compared(candidate, score);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new ScoredTarget(best, bestScore));
    }

    /**
     * Returns the mean service time of those compared targets that have responded to this instance. In a large pool
     * these are few.
     */
    private static double meanKnownMillis(List<TargetState> connected, List<TargetState> unconnected) {
        return Stream.concat(connected.stream(), unconnected.stream())
                .filter(TargetState::hasResponded)
                .mapToDouble(TargetState::meanServiceMillis)
                .average()
                .orElse(TargetState.INITIAL_RESPONSE_MILLIS);
    }

    private double score(TargetState candidate, long nowMillis, double meanKnownMillis) {
        double expected = candidate.expectedResponseMillis(nowMillis, meanKnownMillis)
                * (1 + ESTIMATE_JITTER * (random.getAsDouble() - 0.5));
        return candidate.registration().dataCentre().equals(dataCentre)
                ? expected
                : expected * remoteFactor + remoteExtraMillis;
    }
}
