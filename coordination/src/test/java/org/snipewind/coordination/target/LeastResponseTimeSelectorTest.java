package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards the choice of a target, by the pattern of the load. */
final class LeastResponseTimeSelectorTest {

    private static final long NOW = 10_000;

    private final Random random = new Random(1);
    private final LeastResponseTimeSelector chooser = new LeastResponseTimeSelector("here", 1.3, 5, random::nextDouble);

    @Test
    void aThirdOfAPoolThatIsSlowGetsHardlyAnyRequests() {
        List<TargetState> targets = pool(9, "here");
        IntStream.range(0, 9).forEach(index -> teach(targets.get(index), index < 3 ? 300 : 25));
        long slow = IntStream.range(0, 300)
                .filter(each -> targets.indexOf(chooser.choose(targets, NOW, target -> true, target -> false)
                                .orElseThrow())
                        < 3)
                .count();
        assertThat(slow).isAtMost(3);
    }

    @Test
    void aTargetThatShedsHalfOfItsRequestsIsAvoided() {
        List<TargetState> targets = pool(4, "here");
        targets.forEach(target -> teach(target, 25));
        IntStream.range(0, 20).forEach(each -> {
            targets.get(0).onNoResponse(NOW - 5_000, false);
            targets.get(0).onResponse(25);
        });
        long shedding = IntStream.range(0, 300)
                .filter(each -> chooser.choose(targets, NOW, target -> true, target -> false)
                                .orElseThrow()
                        == targets.get(0))
                .count();
        assertThat(shedding).isAtMost(15);
    }

    @Test
    void workStaysInTheDataCentreUntilAnotherOneIsClearlyFaster() {
        TargetState near = state("near", "here");
        TargetState far = state("far", "there");
        teach(near, 30);
        teach(far, 28);
        assertThat(chooser.choose(List.of(near, far), NOW, target -> true, target -> false))
                .hasValue(near);
        IntStream.range(0, 8).forEach(each -> near.onRequestSent());
        assertThat(chooser.choose(List.of(near, far), NOW, target -> true, target -> false))
                .hasValue(far);
    }

    @Test
    void aPausedTargetIsUsedOnlyIfThereIsNoOther() {
        TargetState failing = state("failing", "here");
        TargetState busy = state("busy", "here");
        failing.onNoResponse(NOW, true);
        IntStream.range(0, 30).forEach(each -> busy.onRequestSent());
        assertThat(chooser.choose(List.of(failing, busy), NOW, target -> true, target -> false))
                .hasValue(busy);
        assertThat(chooser.choose(List.of(failing), NOW, target -> true, target -> false))
                .hasValue(failing);
    }

    /** Pattern: a large fleet, in which an instance sends to each target of a pool only every few seconds. */
    @Test
    void anInstanceWithFewRequestsUsesItsConnectionsAgainInALargePool() {
        List<TargetState> targets = pool(45, "here");
        targets.forEach(target -> teach(target, 140));
        // The connections of the last eight requests are still open.
        Deque<TargetState> connected = new ArrayDeque<>();
        int opened = 0;
        for (int request = 0; request < 400; request++) {
            TargetState chosen = chooser.choose(targets, NOW, target -> true, connected::contains)
                    .orElseThrow();
            opened += connected.contains(chosen) ? 0 : 1;
            connected.addLast(chosen);
            if (connected.size() > 8) {
                connected.removeFirst();
            }
        }
        assertThat(opened).isLessThan(200);
    }

    /** Pattern: a target joins a pool of fast targets, whose answers take less than a new connection counts. */
    @Test
    void aTargetThatJoinsIsTriedSoonThoughAnotherOneIsConnected() {
        TargetState connected = state("connected", "here");
        TargetState joined = state("joined", "here");
        teach(connected, 3);
        long tries = IntStream.range(0, 200)
                .filter(each -> chooser.choose(List.of(connected, joined), NOW, target -> true, connected::equals)
                                .orElseThrow()
                        == joined)
                .count();
        assertThat(tries).isAtLeast(5);
    }

    @Test
    void aTargetWithoutAnAnswerYetIsNotTakenToBeFasterThanAllThatAreKnown() {
        List<TargetState> targets = pool(20, "here");
        targets.subList(0, 8).forEach(target -> teach(target, 140));
        long unknown = IntStream.range(0, 300)
                .filter(each -> targets.indexOf(
                                chooser.choose(targets, NOW, target -> true, target -> targets.indexOf(target) < 8)
                                        .orElseThrow())
                        >= 8)
                .count();
        assertThat(unknown).isLessThan(150);
    }

    @Test
    void aTargetThatIsClearlyFasterIsWorthANewConnection() {
        TargetState connected = state("connected", "here");
        TargetState faster = state("faster", "here");
        teach(connected, 60);
        teach(faster, 30);
        assertThat(chooser.choose(List.of(connected, faster), NOW, target -> true, connected::equals))
                .hasValue(faster);
    }

    private static List<TargetState> pool(int size, String dataCentre) {
        return IntStream.range(0, size)
                .mapToObj(index -> state("t" + index, dataCentre))
                .toList();
    }

    private static TargetState state(String id, String dataCentre) {
        return new TargetState(new TargetRegistration(id, 1, 1, "pool", "127.0.0.1", 1, dataCentre, 2, false, 0), NOW);
    }

    private static void teach(TargetState target, double millis) {
        IntStream.range(0, 30).forEach(each -> target.onResponse(millis));
    }
}
