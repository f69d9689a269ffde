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
 * bandwidth of the few large ones. Guards against a leader that can't handle the tokens, ownership requests and reports
 * of the whole fleet, so that requests of all organisations are refused.
 */
final class LeaderLossInMixedFleetTest {

    private static final int ROUNDS = 300;
    private static final double LARGE_CAPACITY = CandidatePriority.capacity(1.5, 200);
    private static final double SMALL_CAPACITY = CandidatePriority.capacity(0.3, 10);

    /** Longest time until a large instance is notified that there is no leader. */
    private static final double NOTICE_MILLIS = 20;

    /** Duration of the claim of a large instance. */
    private static final double CLAIM_MILLIS = 15;

    /** Time without a leader for which requests wait instead of being refused. */
    private static final double MAX_LEADERLESS_MILLIS = 800;

    private record Election(double capacity, double electedAtMillis) {}

    private static List<Double> fleet(int largeInstances, int smallInstances) {
        List<Double> capacities = new ArrayList<>(Collections.nCopies(largeInstances, LARGE_CAPACITY));
        capacities.addAll(Collections.nCopies(smallInstances, SMALL_CAPACITY));
        return capacities;
    }

    /** The first completed claim wins; small instances are slower by the ratio of processor time. */
    private static Election elect(List<Double> registered, List<Double> live, Random random) {
        Election earliest = new Election(0, Double.MAX_VALUE);
        for (double ownCapacity : live) {
            List<Double> otherCapacities = new ArrayList<>(registered);
            otherCapacities.remove(ownCapacity);
            double slowdown = LARGE_CAPACITY / Math.max(ownCapacity, 0.3);
            double electedMillis = NOTICE_MILLIS * random.nextDouble() * slowdown
                    + CandidatePriority.claimDelayMillis(ownCapacity, otherCapacities, random::nextDouble)
                    + CLAIM_MILLIS * slowdown;
            if (electedMillis < earliest.electedAtMillis()) {
                earliest = new Election(ownCapacity, electedMillis);
            }
        }
        return earliest;
    }

    @Test
    void aLargeInstanceIsElectedAsLongAsOneIsLeft() {
        Random random = new Random(3);
        for (int round = 0; round < ROUNDS; round++) {
            for (int largeInstances : List.of(1, 5)) {
                List<Double> fleet = fleet(largeInstances, 80);
                assertWithMessage("round %s of %s large instances", round, largeInstances)
                        .that(elect(fleet, fleet, random).capacity())
                        .isEqualTo(LARGE_CAPACITY);
            }
        }
    }

    @Test
    void aSmallInstanceLeadsSoonIfAllRegisteredLargeOnesHaveFailed() {
        Random random = new Random(4);
        for (int round = 0; round < ROUNDS; round++) {
            Election election = elect(fleet(6, 80), fleet(0, 80), random);
            assertThat(election.electedAtMillis()).isLessThan(MAX_LEADERLESS_MILLIS);
        }
    }

    @Test
    void aFleetOfEqualInstancesElectsWithoutDelay() {
        Random random = new Random(5);
        for (int round = 0; round < ROUNDS; round++) {
            assertThat(elect(fleet(9, 0), fleet(9, 0), random).electedAtMillis())
                    .isLessThan(150);
        }
    }
}
