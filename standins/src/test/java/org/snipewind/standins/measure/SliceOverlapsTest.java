package org.snipewind.standins.measure;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;

class SliceOverlapsTest {

    private static GrantInterval grant(String target, long from, long until) {
        return new GrantInterval(target, target + "-1", 7, 1, from, until);
    }

    private static ExecutionRecord execution(String target, long from, long until) {
        return new ExecutionRecord(target, target + "-1", "request", "riverside", 7, "/", 1, from, until, "finished");
    }

    /** Guards against a check that passes regardless of the records. */
    @Test
    void findsASliceThatTwoTargetsHeldAtTheSameTime() {
        assertThat(SliceOverlaps.find(List.of(grant("a", 0, 100), grant("b", 99, 200)), List.of()))
                .hasSize(1);
    }

    /** Guards against missing an execution that continues on one target while another target holds the slice. */
    @Test
    void findsAnExecutionThatOverlapsTheGrantOfAnotherTarget() {
        assertThat(SliceOverlaps.find(List.of(grant("b", 50, 200)), List.of(execution("a", 0, 60))))
                .hasSize(1);
    }

    /** Guards against forgetting a long use of a slice after a later but shorter use by the same target. */
    @Test
    void findsAnOverlapWithALongUseThatIsFollowedByAShorterOne() {
        assertThat(SliceOverlaps.find(List.of(grant("a", 0, 100), grant("b", 80, 90)), List.of(execution("a", 10, 20))))
                .hasSize(1);
    }

    /** Guards against reporting uses that follow one another without an overlap. */
    @Test
    void reportsNothingForUsesThatFollowOneAnother() {
        assertThat(SliceOverlaps.find(
                        List.of(grant("a", 0, 100), grant("b", 100, 200), grant("a", 200, 300)),
                        List.of(execution("a", 10, 20), execution("b", 150, 160))))
                .isEmpty();
    }
}
