package org.snipewind.coordination.target;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Chooses a target of an undivided pool by the time that a request is expected to take there.
 *
 * <p>Each instance has its own, slightly blurred estimates, so that not all of them pick the same target at once.
 */
public final class TargetChooser {

    /** Targets of each kind that are compared; more would not give a better choice and cost time in large pools. */
    private static final int MAX_COMPARED = 8;

    /**
     * What a new connection costs: a round trip, a moment of a slot at the target, and processor time here, which is
     * scarce on small instances.
     */
    private static final double CONNECT_MILLIS = 5;

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
    public TargetChooser(String dataCentre, double remoteFactor, double remoteMillis, DoubleSupplier random) {
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
        int comparedConnected = 0;
        int comparedOthers = 0;
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (int offset = 0; offset < targets.size(); offset++) {
            TargetState candidate = targets.get((start + offset) % targets.size());
            boolean isConnected = connected.test(candidate);
            if ((isConnected ? comparedConnected : comparedOthers) >= MAX_COMPARED
                    || candidate.isPaused(nowMillis) != paused
                    || !allowed.test(candidate)) {
                continue;
            }
            if (isConnected) {
                comparedConnected++;
            } else {
                comparedOthers++;
            }
            double score = score(candidate, nowMillis) + (isConnected ? 0 : CONNECT_MILLIS);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private double score(TargetState candidate, long nowMillis) {
        double expected = candidate.expectedMillis(nowMillis) * (1 + BLUR * (random.getAsDouble() - 0.5));
        return candidate.entry().dataCentre().equals(dataCentre) ? expected : expected * remoteFactor + remoteMillis;
    }
}
