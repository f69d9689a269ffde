package org.snipewind.coordination.target;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Selects a target at random, with a probability in inverse proportion to its expected response time.
 *
 * <p>For instances that share their observations. All of them have the same view, which is some 250 ms old; if each
 * selected the best target, that target would get all requests until the next exchange. Allocates nothing per target.
 */
final class SharedSelection {

    /** Time after the last observation of another instance in which the view of the targets counts as shared. */
    private static final long SHARED_VIEW_MILLIS = 2_000;

    /**
     * Factor by which a target is drawn less often if that takes a new connection. Each instance sends few requests to
     * each target, so that without it up to two thirds of them would open a connection.
     */
    private static final double UNCONNECTED_FACTOR = 32;

    /** The targets of one or several data centres, and the one of them that was drawn. */
    private static final class Group {
        private TargetState drawn;
        private double drawnKey = Double.MAX_VALUE;
        private int count;
        private double inverseSum;

        /** Adds a target; the one with the smallest key is drawn. */
        void add(TargetState target, double expectedMillis, double key) {
            count++;
            inverseSum += 1 / expectedMillis;
            if (key < drawnKey) {
                drawnKey = key;
                drawn = target;
            }
        }

        Optional<ScoredTarget> drawn(double scoreMillis) {
            return Optional.ofNullable(drawn).map(target -> new ScoredTarget(target, scoreMillis));
        }

        /** Returns the harmonic mean, in which slow targets, which are drawn rarely, count little. */
        double expectedMillis() {
            return count / inverseSum;
        }
    }

    private final String dataCentre;
    private final double remoteFactor;
    private final double remoteExtraMillis;
    private final DoubleSupplier random;

    SharedSelection(String dataCentre, double remoteFactor, double remoteExtraMillis, DoubleSupplier random) {
        this.dataCentre = dataCentre;
        this.remoteFactor = remoteFactor;
        this.remoteExtraMillis = remoteExtraMillis;
        this.random = random;
    }

    /** Returns whether observations of other instances have come in lately. */
    static boolean isShared(List<TargetState> targets, long nowMillis) {
        for (TargetState target : targets) {
            if (nowMillis - target.lastObservationMillis() <= SHARED_VIEW_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Selects a target of this data centre, or of another one if the targets there are expected to respond sooner.
     *
     * @param candidates the targets
     * @param nowMillis current time
     * @param considered whether to consider a target
     * @return the target with the mean expected time of those among which it was drawn
     */
    Optional<ScoredTarget> choose(Candidates candidates, long nowMillis, Predicate<TargetState> considered) {
        double defaultMillis = meanServiceMillis(candidates.targets());
        Group local = new Group();
        Group remote = new Group();
        for (TargetState target : candidates.targets()) {
            if (considered.test(target) && candidates.allowed().test(target)) {
                double expected = target.expectedResponseMillis(nowMillis, defaultMillis);
                double inverseWeight = candidates.connected().test(target) ? expected : expected * UNCONNECTED_FACTOR;
                // The smallest of exponentially distributed keys belongs to each target with the wanted probability.
                double key = inverseWeight * -Math.log(1 - random.getAsDouble());
                candidates.observer().compared(target, inverseWeight);
                boolean isLocal = target.registration().dataCentre().equals(dataCentre);
                (isLocal ? local : remote).add(target, expected, key);
            }
        }
        double remoteMillis = remote.expectedMillis() * remoteFactor + remoteExtraMillis;
        boolean leave = local.count == 0 || remote.count > 0 && remoteMillis < local.expectedMillis();
        return leave ? remote.drawn(remoteMillis) : local.drawn(local.expectedMillis());
    }

    private static double meanServiceMillis(List<TargetState> targets) {
        int known = 0;
        double sum = 0;
        for (TargetState target : targets) {
            if (target.hasResponded()) {
                known++;
                sum += target.meanServiceMillis();
            }
        }
        return known == 0 ? TargetState.INITIAL_RESPONSE_MILLIS : sum / known;
    }
}
