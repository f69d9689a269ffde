package org.snipewind.coordination.selection;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetSelectorTest {

    private final Random random = new Random(3);

    private static Candidate candidate(
            String target, int inFlight, long latencyMicros, long ageMillis, long roundTripMicros) {
        return new Candidate(target, "dc", true, inFlight, 0, 2, latencyMicros, ageMillis, roundTripMicros);
    }

    /** Guards against load on a slow target, or on one with many requests in progress whose latency is still low. */
    @Test
    void freshInformationAvoidsSlowAndHotTargets() {
        List<Candidate> candidates = List.of(
                candidate("hot", 9, 100, 5, 0),
                candidate("slow", 0, 50_000, 5, 0),
                candidate("good", 1, 5_000, 5, 0),
                candidate("far", 0, 5_000, 5, 9_000));
        for (int choice = 0; choice < 50; choice++) {
            assertThat(TargetSelector.choose(candidates, Set.of(), random)).hasValue("good");
        }
        assertThat(TargetSelector.choose(candidates, Set.of("good"), random)).hasValue("far");
    }

    /** Guards against all entry instances selecting the same target by outdated information. */
    @Test
    void oldInformationSpreadsLoadButNeverSelectsTheWorstTarget() {
        List<Candidate> candidates = List.of(
                candidate("a", 0, 1_000, 900, 0), candidate("b", 1, 1_000, 900, 0), candidate("c", 3, 1_000, 900, 0));
        int second = 0;
        for (int choice = 0; choice < 300; choice++) {
            String selected =
                    TargetSelector.choose(candidates, Set.of(), random).orElseThrow();
            assertThat(selected).isNotEqualTo("c");
            second += selected.equals("b") ? 1 : 0;
        }
        assertThat(second).isAtLeast(60);
    }

    /** Guards against requests to excluded or unavailable targets. */
    @Test
    void excludedAndUnavailableTargetsAreNeverSelected() {
        Candidate unavailable = new Candidate("closed", "dc", false, 0, 0, 2, 1, 0, 0);
        List<Candidate> candidates = List.of(unavailable, candidate("open", 5, 9_000, 0, 0));
        assertThat(TargetSelector.choose(candidates, Set.of(), random)).hasValue("open");
        assertThat(TargetSelector.choose(candidates, Set.of("open"), random)).isEmpty();
        assertThat(TargetSelector.chooseRandom(candidates, Set.of(), random)).hasValue("open");
        assertThat(TargetSelector.chooseRandom(candidates, Set.of("open"), random))
                .isEmpty();
    }

    /** Guards against hedges that double the load when all targets are slow. */
    @Test
    void hedgesStayWithinTheirBudget() {
        HedgePolicy policy = new HedgePolicy(0.03);
        int hedges = 0;
        for (int request = 0; request < 10_000; request++) {
            policy.recordFirstAttempt();
            hedges += policy.tryAcquire() ? 1 : 0;
        }
        assertThat(hedges).isEqualTo(302);
    }
}
