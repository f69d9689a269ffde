package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against instances that select nearly at random, and against instances that all select the same target. */
final class SharedSelectionTest {

    private static final int INSTANCES = 25;
    private static final int SEEDS = 3;
    private static final long NOW = 100_000;

    private record Load(int targets, int slots, double serviceMillis, double requestsPerSecond, double objective) {}

    private record Outcome(double failed, double rejected, double opened) {}

    private static Outcome run(Load load, boolean shared) {
        double failed = 0;
        double rejected = 0;
        double opened = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedUndividedPool pool = new SimulatedUndividedPool(
                    seed, INSTANCES, load.targets(), load.slots(), load.serviceMillis(), shared);
            pool.run(5_000, load.requestsPerSecond(), load.objective());
            pool.run(20_000, load.requestsPerSecond(), load.objective());
            failed += pool.failedFraction() / SEEDS;
            rejected += pool.rejectedFraction() / SEEDS;
            opened += pool.openedFraction() / SEEDS;
        }
        return new Outcome(failed, rejected, opened);
    }

    /** Load: speeds from 0.5 to 1.6 and slow moments, with long requests of which each instance sends two a second. */
    @Test
    void sharedObservationsMakeFewerLongRequestsLate() {
        Load archive = new Load(18, 3, 473, 55, 1_521);
        Outcome alone = run(archive, false);
        Outcome shared = run(archive, true);
        assertThat(shared.failed()).isLessThan(alone.failed() * 0.8);
        assertThat(shared.rejected()).isAtMost(alone.rejected());
    }

    /** Load: a burst to three quarters of the capacity. Guards against a best target that gets all requests. */
    @Test
    void aSharedViewLeadsToNoRejectionsByTheTargetThatLooksBest() {
        Load orders = new Load(43, 2, 121, 290, 639);
        Outcome alone = run(orders, false);
        Outcome shared = run(orders, true);
        assertThat(shared.failed()).isLessThan(alone.failed() + 0.02);
        assertThat(shared.rejected()).isLessThan(0.005);
    }

    /** Load: many targets, of which each instance uses each a few times a minute. Guards against costly connections. */
    @Test
    void aSharedViewOpensNoMoreConnections() {
        Load archive = new Load(18, 3, 473, 40, 1_521);
        Load orders = new Load(43, 2, 121, 290, 639);
        assertThat(run(archive, true).opened()).isLessThan(run(archive, false).opened() * 1.2);
        assertThat(run(orders, true).opened()).isLessThan(run(orders, false).opened() * 1.3);
    }

    /** Load: little. */
    @Test
    void underLittleLoadASharedViewDoesNoHarm() {
        Load uploads = new Load(20, 2, 112, 82, 900);
        assertThat(run(uploads, true).failed()).isAtMost(run(uploads, false).failed() + 0.002);
    }

    private static TargetState target(String id, String dataCentre, int serviceTenths) {
        TargetState state =
                new TargetState(new TargetRegistration(id, 1, 1, "p", "127.0.0.1", 1, dataCentre, 2, false, 0), NOW);
        state.onObservation(
                new TargetObservation(
                        TargetObservation.numberOf(state.incarnation()), 1, serviceTenths, 0, Optional.empty()),
                NOW);
        return state;
    }

    private static Map<String, Integer> select(List<TargetState> targets, long nowMillis) {
        Random random = new Random(3);
        LeastResponseTimeSelector selector = new LeastResponseTimeSelector("dc-1", 1.3, 5, random::nextDouble);
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 0; request < 6_000; request++) {
            selector.choose(targets, nowMillis, target -> true, target -> true)
                    .ifPresent(target -> counts.merge(target.registration().id(), 1, Integer::sum));
        }
        return counts;
    }

    @Test
    void aTargetThatIsTwiceAsFastGetsTwiceAsManyRequests() {
        Map<String, Integer> counts = select(
                List.of(
                        target("slow", "dc-1", 2_000),
                        target("slow-too", "dc-1", 2_000),
                        target("fast", "dc-1", 1_000)),
                NOW);
        assertThat(counts.get("fast")).isIn(Range.closed(2_850, 3_150));
    }

    /** Guards against bytes between data centres that gain nothing. */
    @Test
    void requestsStayInTheDataCentreWhileItsTargetsRespondAboutAsSoon() {
        List<TargetState> targets = new ArrayList<>();
        targets.add(target("local", "dc-1", 1_000));
        targets.add(target("remote-1", "dc-2", 900));
        targets.add(target("remote-2", "dc-3", 900));
        assertThat(select(targets, NOW).keySet()).containsExactly("local");
        targets.set(0, target("local", "dc-1", 2_000));
        assertThat(select(targets, NOW).keySet()).containsExactly("remote-1", "remote-2");
    }

    /** Guards against a random selection by an instance that has only its own observations. */
    @Test
    void withoutLateObservationsOfOthersTheFastestTargetIsSelected() {
        List<TargetState> targets = List.of(target("slow", "dc-1", 2_000), target("fast", "dc-1", 1_000));
        assertThat(select(targets, NOW).keySet()).containsExactly("slow", "fast");
        assertThat(select(targets, NOW + 2_001).keySet()).containsExactly("fast");
    }

    @Test
    void aPoolWithoutAnEligibleTargetHasNone() {
        LeastResponseTimeSelector selector = new LeastResponseTimeSelector("dc-1", 1.3, 5, () -> 0.5);
        assertThat(selector.choose(List.of(target("t", "dc-1", 1_000)), NOW, target -> false, target -> true))
                .isEqualTo(Optional.empty());
    }
}
