package org.snipewind.coordination.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Observations of the version that is introduced and of the others, by route.
 *
 * @param introduced observations of the version that is introduced
 * @param others observations of all other versions
 */
public record RolloutEvidence(Map<String, VersionTally> introduced, Map<String, VersionTally> others) {

    /** No observation. */
    public static final RolloutEvidence NONE = new RolloutEvidence(Map.of(), Map.of());

    /** Makes immutable copies of the maps. */
    public RolloutEvidence {
        introduced = Map.copyOf(introduced);
        others = Map.copyOf(others);
    }

    /**
     * Subtracts earlier evidence.
     *
     * @param earlier evidence that is included in this
     * @return the later evidence
     */
    public RolloutEvidence minus(RolloutEvidence earlier) {
        return new RolloutEvidence(difference(introduced, earlier.introduced), difference(others, earlier.others));
    }

    private static Map<String, VersionTally> difference(
            Map<String, VersionTally> later, Map<String, VersionTally> earlier) {
        Map<String, VersionTally> result = new HashMap<>();
        later.forEach((route, tally) -> result.put(route, tally.minus(earlier.getOrDefault(route, VersionTally.NONE))));
        return result;
    }

    /**
     * Returns the observations of the introduced version over all routes.
     *
     * @return the sum
     */
    public VersionTally introducedTotal() {
        return introduced.values().stream().reduce(VersionTally.NONE, VersionTally::plus);
    }

    /**
     * Returns the observations of the other versions over all routes.
     *
     * @return the sum
     */
    public VersionTally othersTotal() {
        return others.values().stream().reduce(VersionTally.NONE, VersionTally::plus);
    }
}
