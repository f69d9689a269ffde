package org.snipewind.coordination.election;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a fleet loses its leader, and most instances have a fifth of the processor time and a twentieth of the
 * link of the few large ones. Guards against a leader that can't carry the tokens, orders and reports of the whole
 * fleet, so that callers of all organisations are refused.
 */
final class LeaderLossInMixedFleetTest {

    private static final int ROUNDS = 300;
    private static final double LARGE = CandidatePriority.capacity(1.5, 200);
    private static final double SMALL = CandidatePriority.capacity(0.3, 10);

    /** Time until an instance hears of the vacancy, and time of its claim, both for a large instance. */
    private static final double NOTICE_MILLIS = 20;

    private static final double CLAIM_MILLIS = 15;

    /** Longest time without a leader that requests wait through. */
    private static final double LONGEST_VACANCY_MILLIS = 800;

    private record Election(double capacity, double takenAtMillis) {}

    private static List<Double> fleet(int large, int small) {
        List<Double> capacities = new ArrayList<>(Collections.nCopies(large, LARGE));
        capacities.addAll(Collections.nCopies(small, SMALL));
        return capacities;
    }

    /** The first claim that is complete wins; small instances are slower in all they do. */
    private static Election elect(List<Double> listed, List<Double> present, Random random) {
        Election first = new Election(0, Double.MAX_VALUE);
        for (double own : present) {
            List<Double> others = new ArrayList<>(listed);
            others.remove(own);
            double slowness = LARGE / Math.max(own, 0.3);
            double taken = NOTICE_MILLIS * random.nextDouble() * slowness
                    + CandidatePriority.claimDelayMillis(own, others, random::nextDouble)
                    + CLAIM_MILLIS * slowness;
            if (taken < first.takenAtMillis()) {
                first = new Election(own, taken);
            }
        }
        return first;
    }

    @Test
    void theOfficeGoesToALargeInstanceAsLongAsOneIsLeft() {
        Random random = new Random(3);
        for (int round = 0; round < ROUNDS; round++) {
            for (int large : List.of(1, 5)) {
                List<Double> fleet = fleet(large, 80);
                assertWithMessage("round %s of %s large instances", round, large)
                        .that(elect(fleet, fleet, random).capacity())
                        .isEqualTo(LARGE);
            }
        }
    }

    @Test
    void aSmallInstanceLeadsSoonIfTheLargeOnesAreOnlyListedAndGone() {
        Random random = new Random(4);
        for (int round = 0; round < ROUNDS; round++) {
            Election election = elect(fleet(6, 80), fleet(0, 80), random);
            assertThat(election.takenAtMillis()).isLessThan(LONGEST_VACANCY_MILLIS);
        }
    }

    @Test
    void aFleetOfEqualInstancesElectsWithoutDelay() {
        Random random = new Random(5);
        for (int round = 0; round < ROUNDS; round++) {
            assertThat(elect(fleet(9, 0), fleet(9, 0), random).takenAtMillis()).isLessThan(150);
        }
    }
}
