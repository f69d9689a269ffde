package org.snipewind.coordination.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses a target of an undivided pool by the time that a request is expected to take there.
 *
 * <p>Each instance has its own, slightly blurred estimates, so that not all of them pick the same target at once.
 */
public final class LeastResponseTimeSelector {

    /** Targets of each kind that are compared; more would not give a better choice and cost time in large pools. */
    private static final int MAX_COMPARED = 8;

    /**
     * What a new connection costs: a round trip, a moment of a slot at the target, and processor time here, which is
     * scarce on small instances.
     */
    private static final double CONNECT_MILLIS = 5;

    /** A connection counts as no more than this part of the work, so that targets that join are tried. */
    private static final double CONNECT_PART = 0.1;

    /** Relative width of the blur. */
    private static final double BLUR = 0.2;

    private final String dataCentre;
    private final double remoteFactor;
    private final double remoteMillis;
    private final DoubleSupplier random;

    /**
     * Creates a chooser.
     *
     * @param dataCentre data centre of this instance
     * @param remoteFactor by how much slower a target in another data centre counts
     * @param remoteMillis milliseconds added for a target in another data centre
     * @param random uniform random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public LeastResponseTimeSelector(
            String dataCentre, double remoteFactor, double remoteMillis, DoubleSupplier random) {
        this.dataCentre = dataCentre;
        this.remoteFactor = remoteFactor;
        this.remoteMillis = remoteMillis;
        this.random = random;
    }

    /**
     * Chooses a target.
     *
     * @param targets targets in service
     * @param nowMillis present time
     * @param allowed tells whether a request may be sent to a target now
     * @param connected tells whether a connection to a target is kept that the request could use
     * @return the target with the shortest expected time; one that is paused after failures only if there is no other
     */
    public Optional<TargetState> choose(
            List<TargetState> targets,
            long nowMillis,
            Predicate<TargetState> allowed,
            Predicate<TargetState> connected) {
        Optional<TargetState> best = best(targets, nowMillis, allowed, connected, false);
        return best.isPresent() ? best : best(targets, nowMillis, allowed, connected, true);
    }

    private Optional<TargetState> best(
            List<TargetState> targets,
            long nowMillis,
            Predicate<TargetState> allowed,
            Predicate<TargetState> connected,
            boolean paused) {
        int start = targets.isEmpty() ? 0 : (int) (random.getAsDouble() * targets.size());
        List<TargetState> connectedOnes = new ArrayList<>(MAX_COMPARED);
        List<TargetState> others = new ArrayList<>(MAX_COMPARED);
        for (int offset = 0; offset < targets.size(); offset++) {
            TargetState candidate = targets.get((start + offset) % targets.size());
            List<TargetState> compared = connected.test(candidate) ? connectedOnes : others;
            if (compared.size() < MAX_COMPARED && candidate.isPaused(nowMillis) == paused && allowed.test(candidate)) {
                compared.add(candidate);
            }
        }
        double typical = typicalMillis(connectedOnes, others);
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (TargetState candidate : connectedOnes) {
            double score = score(candidate, nowMillis, typical);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        for (TargetState candidate : others) {
            double score = score(candidate, nowMillis, typical);
            score += Math.min(CONNECT_MILLIS, score * CONNECT_PART);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Gives the mean time of the targets that this instance knows; in a large pool it knows few of them. */
    private static double typicalMillis(List<TargetState> connected, List<TargetState> others) {
        return Stream.concat(connected.stream(), others.stream())
                .filter(TargetState::isSampled)
                .mapToDouble(TargetState::meanResponseMillis)
                .average()
                .orElse(TargetState.FIRST_ESTIMATE_MILLIS);
    }

    private double score(TargetState candidate, long nowMillis, double typicalMillis) {
        double expected =
                candidate.expectedResponseMillis(nowMillis, typicalMillis) * (1 + BLUR * (random.getAsDouble() - 0.5));
        return candidate.registration().dataCentre().equals(dataCentre)
                ? expected
                : expected * remoteFactor + remoteMillis;
    }
}
