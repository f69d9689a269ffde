package org.snipewind.coordination.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses a target of an undivided pool; it has no state.
 *
 * <p>With fresh information the hot-cold rule of Prequal applies (Wydrowski et al., Load is not what you should
 * balance: Introducing Prequal, NSDI 2024): candidates whose requests in progress lie above a quantile of all are hot
 * and left out, and of the cold ones the one with the shortest expected time is taken. Latency alone lags behind the
 * load; the requests in progress do not. Requests in progress are counted relative to the target's limit, since a
 * target in cold start has a lower one. With old information, choosing the best sends all entries to the same target,
 * so the better of two random candidates is taken (Mitzenmacher, The power of two choices, 2001).
 */
public final class TargetSelector {

    /** Older information counts as missing; a slow moment of a target may begin and end within it. */
    public static final long FRESH_MILLIS = 250;

    /**
     * Candidates with an occupancy above this quantile are hot, unless they have a free slot: in a pool of two the
     * busier one would always be hot, and an idle straggler would be chosen.
     */
    private static final double HOT_QUANTILE = 0.75;

    private TargetSelector() {}

    /**
     * Chooses the target with the shortest expected time by the rule above.
     *
     * @param candidates the targets of the pool
     * @param excluded names of targets not to choose
     * @param random source of random numbers, also used to break ties
     * @return name of the target, or empty if no target is available
     */
    public static Optional<String> choose(List<Candidate> candidates, Set<String> excluded, RandomGenerator random) {
        List<Candidate> usable = usable(candidates, excluded);
        List<Candidate> fresh = usable.stream()
                .filter(candidate -> candidate.ageMillis() <= FRESH_MILLIS)
                .toList();
        if (fresh.size() < Math.min(2, usable.size())) {
            return betterOfTwo(usable, random);
        }
        if (fresh.isEmpty()) {
            return Optional.empty();
        }
        double[] occupancies =
                fresh.stream().mapToDouble(Candidate::occupancy).sorted().toArray();
        double threshold = occupancies[(int) (HOT_QUANTILE * (occupancies.length - 1))];
        List<Candidate> cold = fresh.stream()
                .filter(candidate -> candidate.occupancy() <= threshold || candidate.occupancy() < 1)
                .toList();
        double shortest =
                cold.stream().mapToDouble(Candidate::expectedMicros).min().orElseThrow();
        List<Candidate> best = cold.stream()
                .filter(candidate -> candidate.expectedMicros() <= shortest)
                .toList();
        return Optional.of(pick(best, random).target());
    }

    /**
     * Chooses an available target at random, as the baseline of measurements.
     *
     * @param candidates the targets of the pool
     * @param excluded names of targets not to choose
     * @param random source of random numbers
     * @return name of the target, or empty if no target is available
     */
    public static Optional<String> chooseRandom(
            List<Candidate> candidates, Set<String> excluded, RandomGenerator random) {
        List<Candidate> usable = usable(candidates, excluded);
        return usable.isEmpty()
                ? Optional.empty()
                : Optional.of(pick(usable, random).target());
    }

    private static Optional<String> betterOfTwo(List<Candidate> usable, RandomGenerator random) {
        if (usable.size() < 2) {
            return usable.stream().map(Candidate::target).findFirst();
        }
        int first = random.nextInt(usable.size());
        int second = (first + 1 + random.nextInt(usable.size() - 1)) % usable.size();
        Candidate better = List.of(usable.get(first), usable.get(second)).stream()
                .min(Comparator.comparingDouble(Candidate::expectedMicros))
                .orElseThrow();
        return Optional.of(better.target());
    }

    private static List<Candidate> usable(List<Candidate> candidates, Set<String> excluded) {
        return candidates.stream()
                .filter(candidate -> candidate.available() && !excluded.contains(candidate.target()))
                .toList();
    }

    private static Candidate pick(List<Candidate> candidates, RandomGenerator random) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
