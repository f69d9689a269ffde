package org.snipewind.coordination.rollout;

import java.util.Map;
import java.util.Optional;

/** Tells whether the version that is introduced is worse than the others by more than chance explains. */
public final class VersionComparison {

    /** How strict a comparison is. */
    private record Level(double significance, long leastBad, double slowFactor) {}

    /**
     * A fault. Speeds of good targets differ by up to 2. A roll-out is judged about a hundred times, but the tolerated
     * rates make a false alarm rarer than the significance says. At 1 in 10,000, a model at 150 requests per second did
     * not find a quarter of the versions that began to fail 1 in 10 requests late. Fewer than 5 failures can come from
     * the loss of a target or two.
     */
    private static final Level FAULT = new Level(1e-3, 5, 2.5);

    /** A fault since the last step. It is looked for in many short periods, so chance must explain much less of it. */
    private static final Level RECENT_FAULT = new Level(3e-5, 5, 2.5);

    /** A sign of a fault, upon which the next step is put off as long as the time allows. */
    private static final Level SIGN = new Level(0.05, 3, 2);

    /** Failure rate that is always tolerated; targets that crash or are cut off fail a few requests of any version. */
    private static final double TOLERATED_FAILURE_RATE = 0.006;

    /** Factor by which the failure rate may exceed that of the other versions, as the load changes with time. */
    private static final double FAILURE_RATE_FACTOR = 1.5;

    /** Requests without a failure that a rate without observations is worth. */
    private static final double PRIOR_REQUESTS = 20;

    /** Requests from which the recent failure rate of the other versions is used; that of fewer is too uncertain. */
    private static final long LEAST_RECENT_REQUESTS = 200;

    /** Samples of each side that a comparison of service times needs; the mean of fewer is off by half and more. */
    static final long LEAST_TIMED = 12;

    /** Expected number of failures above which the normal distribution replaces the binomial one. */
    private static final double NORMAL_ABOVE = 300;

    private VersionComparison() {}

    /**
     * Finds a fault of the introduced version.
     *
     * @param total observations since the order
     * @param recent observations since the last change of the share
     * @return a description of the fault with its numbers, or empty if there is none
     */
    public static Optional<String> findFault(RolloutEvidence total, RolloutEvidence recent) {
        return find(total, total, FAULT).or(() -> find(recent, total, RECENT_FAULT));
    }

    /**
     * Returns whether there is a sign of a fault that may be due to chance.
     *
     * @param evidence observations of both sides
     * @return true if it is better to wait for more samples
     */
    static boolean hasSign(RolloutEvidence evidence) {
        return find(evidence, evidence, SIGN).isPresent();
    }

    private static Optional<String> find(RolloutEvidence evidence, RolloutEvidence reference, Level level) {
        Optional<String> overall = compareFailures(
                level, "all", evidence.introducedTotal(), larger(evidence.othersTotal(), reference.othersTotal()));
        if (overall.isPresent()) {
            return overall;
        }
        for (Map.Entry<String, VersionTally> entry : evidence.introduced().entrySet()) {
            String route = entry.getKey();
            VersionTally other = evidence.others().getOrDefault(route, VersionTally.NONE);
            VersionTally otherOrReference = larger(other, reference.others().getOrDefault(route, VersionTally.NONE));
            Optional<String> fault = compareFailures(level, route, entry.getValue(), otherOrReference)
                    .or(() -> compareTimes(level, route, entry.getValue(), otherOrReference));
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    /** Returns the recent observations if they suffice, else those of the whole roll-out. */
    private static VersionTally larger(VersionTally recent, VersionTally whole) {
        return recent.timed() >= LEAST_TIMED && recent.requests() >= LEAST_RECENT_REQUESTS ? recent : whole;
    }

    private static Optional<String> compareFailures(
            Level level, String route, VersionTally introduced, VersionTally others) {
        if (introduced.bad() < level.leastBad()) {
            return Optional.empty();
        }
        double otherRate = (others.bad() + 0.5) / (others.requests() + PRIOR_REQUESTS);
        // The rate of few requests may be higher than it seems.
        double deviation = Math.sqrt(otherRate * (1 - otherRate) / (others.requests() + 1));
        double allowedRate = Math.min(0.9, TOLERATED_FAILURE_RATE + FAILURE_RATE_FACTOR * (otherRate + deviation));
        return isExcessive(introduced.requests(), introduced.bad(), allowedRate, level.significance())
                ? Optional.of("failures route=" + route + " bad=" + introduced.bad() + " of " + introduced.requests()
                        + " others-bad=" + others.bad() + " of " + others.requests())
                : Optional.empty();
    }

    /** Returns whether so many failures have a probability below the significance. */
    static boolean isExcessive(long requests, long bad, double rate, double significance) {
        double expected = requests * rate;
        if (bad <= expected) {
            return false;
        }
        if (expected > NORMAL_ABOVE) {
            // The bound on the tail of the normal distribution that exp(-z²/2) gives is on the safe side.
            double deviations = (bad - expected) / Math.sqrt(expected * (1 - rate));
            return Math.exp(-deviations * deviations / 2) < significance;
        }
        // The probability of fewer failures, summed up from none; each term follows from the one before.
        double logTerm = requests * Math.log1p(-rate);
        double logOdds = Math.log(rate) - Math.log1p(-rate);
        double fewer = 0;
        for (long count = 0; count < bad; count++) {
            fewer += Math.exp(logTerm);
            logTerm += logOdds + Math.log((double) (requests - count) / (count + 1));
        }
        return 1 - fewer < significance;
    }

    private static Optional<String> compareTimes(
            Level level, String route, VersionTally introduced, VersionTally others) {
        boolean enough = introduced.timed() >= LEAST_TIMED && others.timed() >= LEAST_TIMED;
        return enough && introduced.meanMillis() > level.slowFactor() * others.meanMillis()
                ? Optional.of("slow route=" + route + " mean=" + Math.round(introduced.meanMillis()) + "ms of "
                        + introduced.timed() + " others-mean=" + Math.round(others.meanMillis()) + "ms of "
                        + others.timed())
                : Optional.empty();
    }
}
