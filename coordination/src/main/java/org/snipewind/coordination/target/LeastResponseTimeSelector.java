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
        Optional<TargetState> unpaused = bestTarget(targets, nowMillis, allowed, connected, false);
        return unpaused.isPresent() ? unpaused : bestTarget(targets, nowMillis, allowed, connected, true);
    }

    private Optional<TargetState> bestTarget(
            List<TargetState> targets,
            long nowMillis,
            Predicate<TargetState> allowed,
            Predicate<TargetState> connected,
            boolean paused) {
        if (SharedSelection.isShared(targets, nowMillis)) {
            return sharedSelection
                    .choose(
                            targets,
                            nowMillis,
                            candidate -> candidate.isPaused(nowMillis) == paused && allowed.test(candidate),
                            connected)
                    .map(SharedSelection.Drawn::target);
        }
        int start = targets.isEmpty() ? 0 : (int) (random.getAsDouble() * targets.size());
        List<TargetState> connectedTargets = new ArrayList<>(MAX_COMPARED);
        List<TargetState> unconnectedTargets = new ArrayList<>(MAX_COMPARED);
        for (int offset = 0; offset < targets.size(); offset++) {
            TargetState candidate = targets.get((start + offset) % targets.size());
            List<TargetState> compared = connected.test(candidate) ? connectedTargets : unconnectedTargets;
            if (compared.size() < MAX_COMPARED && candidate.isPaused(nowMillis) == paused && allowed.test(candidate)) {
                compared.add(candidate);
            }
        }
        double meanKnownMillis = meanKnownMillis(connectedTargets, unconnectedTargets);
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (TargetState candidate : connectedTargets) {
            double score = score(candidate, nowMillis, meanKnownMillis);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        for (TargetState candidate : unconnectedTargets) {
            double score = score(candidate, nowMillis, meanKnownMillis);
            score += Math.min(CONNECT_COST_MILLIS, score * MAX_CONNECT_COST_FRACTION);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
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
