package org.snipewind.coordination.selection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects a target of an undivided pool; stateless.
 *
 * <p>With fresh information the hot-cold rule of Prequal applies (Wydrowski et al., Load is not what you should
 * balance: Introducing Prequal, NSDI 2024). Candidates whose requests in progress exceed a quantile over all candidates
 * are hot and are excluded; of the others, which are cold, the one with the shortest expected time is selected. Latency
 * alone lags behind the load; the requests in progress do not. They are counted relative to the concurrency limit,
 * since a target in cold start has a lower limit.
 *
 * <p>With old information, selecting the best candidate would send the requests of all entry instances to the same
 * target, so the better of two random candidates is selected (Mitzenmacher, The power of two choices, 2001).
 */
public final class TargetSelector {

    /** Maximum age of fresh information; within a longer time a target may become slow and recover again. */
    public static final long FRESH_MILLIS = 250;

    /**
     * Candidates with an occupancy above this quantile are hot, unless they have a free slot. Without that exception,
     * the busier of two candidates would always be hot, and a slow but idle one would be selected.
     */
    private static final double HOT_QUANTILE = 0.75;

    private TargetSelector() {}

    /**
     * Selects a target by the rules above.
     *
     * @param candidates the targets of the pool
     * @param excluded names of targets not to select
     * @param random source of random numbers, also used to break ties
     * @return name of the target, or empty if no target is available
     */
    public static Optional<String> choose(List<Candidate> candidates, Set<String> excluded, RandomGenerator random) {
        List<Candidate> available = available(candidates, excluded);
        List<Candidate> fresh = available.stream()
                .filter(candidate -> candidate.ageMillis() <= FRESH_MILLIS)
                .toList();
        if (fresh.size() < Math.min(2, available.size())) {
            return betterOfTwo(available, random);
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
     * Selects an available target at random, as a baseline for measurements.
     *
     * @param candidates the targets of the pool
     * @param excluded names of targets not to select
     * @param random source of random numbers
     * @return name of the target, or empty if no target is available
     */
    public static Optional<String> chooseRandom(
            List<Candidate> candidates, Set<String> excluded, RandomGenerator random) {
        List<Candidate> available = available(candidates, excluded);
        return available.isEmpty()
                ? Optional.empty()
                : Optional.of(pick(available, random).target());
    }

    private static Optional<String> betterOfTwo(List<Candidate> available, RandomGenerator random) {
        if (available.size() < 2) {
            return available.stream().map(Candidate::target).findFirst();
        }
        int first = random.nextInt(available.size());
        int second = (first + 1 + random.nextInt(available.size() - 1)) % available.size();
        Candidate better = List.of(available.get(first), available.get(second)).stream()
                .min(Comparator.comparingDouble(Candidate::expectedMicros))
                .orElseThrow();
        return Optional.of(better.target());
    }

    private static List<Candidate> available(List<Candidate> candidates, Set<String> excluded) {
        return candidates.stream()
                .filter(candidate -> candidate.available() && !excluded.contains(candidate.target()))
                .toList();
    }

    private static Candidate pick(List<Candidate> candidates, RandomGenerator random) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
