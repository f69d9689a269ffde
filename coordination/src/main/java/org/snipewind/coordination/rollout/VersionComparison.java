package org.snipewind.coordination.rollout;

import java.util.Map;
import java.util.Optional;

/** Tells whether the version that is introduced is worse than the others by more than chance explains. */
public final class VersionComparison {

    /**
     * Probability at which a number of failures is no longer attributed to chance. A roll-out is judged about a hundred
     * times, so that a good version is rolled back in less than 1 of 100 cases.
     */
    private static final double SIGNIFICANCE = 1e-4;

    /** Fewer failures can come from the loss of a target or two, which is no sign of a bad version. */
    private static final long LEAST_BAD = 5;

    /** Failure rate that is always tolerated; targets that crash or are cut off fail a few requests of any version. */
    private static final double TOLERATED_FAILURE_RATE = 0.01;

    /** Factor by which the failure rate may exceed that of the other versions, as the load changes with time. */
    private static final double FAILURE_RATE_FACTOR = 1.5;

    /** Requests without a failure that a rate without observations is worth. */
    private static final double PRIOR_REQUESTS = 20;

    /** Requests from which the recent failure rate of the other versions is used; that of fewer is too uncertain. */
    private static final long LEAST_RECENT_REQUESTS = 200;

    /** Factor above which the mean service time of a route is bad; speeds of good targets differ by up to 2. */
    private static final double SLOW_FACTOR = 2.5;

    /** Samples of each side that a comparison of service times needs; the mean of fewer is off by half and more. */
    static final long LEAST_TIMED = 12;

    /** Expected number of failures above which the normal distribution replaces the binomial one. */
    private static final double NORMAL_ABOVE = 300;

    /** Standard deviations that correspond to the significance. */
    private static final double SIGNIFICANT_DEVIATIONS = 3.72;

    private VersionComparison() {}

    /**
     * Finds a fault of the introduced version.
     *
     * @param evidence observations of both sides
     * @param reference observations of the other versions over the whole roll-out, used where the evidence has none
     * @return a description of the fault with its numbers, or empty if there is none
     */
    public static Optional<String> findFault(RolloutEvidence evidence, RolloutEvidence reference) {
        Optional<String> overall = compareFailures(
                "all", evidence.introducedTotal(), larger(evidence.othersTotal(), reference.othersTotal()));
        if (overall.isPresent()) {
            return overall;
        }
        for (Map.Entry<String, VersionTally> entry : evidence.introduced().entrySet()) {
            String route = entry.getKey();
            VersionTally other = evidence.others().getOrDefault(route, VersionTally.NONE);
            VersionTally otherOrReference = larger(other, reference.others().getOrDefault(route, VersionTally.NONE));
            Optional<String> fault = compareFailures(route, entry.getValue(), otherOrReference)
                    .or(() -> compareTimes(route, entry.getValue(), otherOrReference));
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

    private static Optional<String> compareFailures(String route, VersionTally introduced, VersionTally others) {
        if (introduced.bad() < LEAST_BAD) {
            return Optional.empty();
        }
        double otherRate = (others.bad() + 0.5) / (others.requests() + PRIOR_REQUESTS);
        // The rate of few requests may be higher than it seems.
        double deviation = Math.sqrt(otherRate * (1 - otherRate) / (others.requests() + 1));
        double allowedRate = Math.min(0.9, TOLERATED_FAILURE_RATE + FAILURE_RATE_FACTOR * (otherRate + deviation));
        return isExcessive(introduced.requests(), introduced.bad(), allowedRate)
                ? Optional.of("failures route=" + route + " bad=" + introduced.bad() + " of " + introduced.requests()
                        + " others-bad=" + others.bad() + " of " + others.requests())
                : Optional.empty();
    }

    /** Returns whether so many failures have a probability below the significance. */
    static boolean isExcessive(long requests, long bad, double rate) {
        double expected = requests * rate;
        if (bad <= expected) {
            return false;
        }
        if (expected > NORMAL_ABOVE) {
            return (bad - expected) / Math.sqrt(expected * (1 - rate)) > SIGNIFICANT_DEVIATIONS;
        }
        // The probability of fewer failures, summed up from none; each term follows from the one before.
        double logTerm = requests * Math.log1p(-rate);
        double logOdds = Math.log(rate) - Math.log1p(-rate);
        double fewer = 0;
        for (long count = 0; count < bad; count++) {
            fewer += Math.exp(logTerm);
            logTerm += logOdds + Math.log((double) (requests - count) / (count + 1));
        }
        return 1 - fewer < SIGNIFICANCE;
    }

    private static Optional<String> compareTimes(String route, VersionTally introduced, VersionTally others) {
        boolean enough = introduced.timed() >= LEAST_TIMED && others.timed() >= LEAST_TIMED;
        return enough && introduced.meanMillis() > SLOW_FACTOR * others.meanMillis()
                ? Optional.of("slow route=" + route + " mean=" + Math.round(introduced.meanMillis()) + "ms of "
                        + introduced.timed() + " others-mean=" + Math.round(others.meanMillis()) + "ms of "
                        + others.timed())
                : Optional.empty();
    }
}
