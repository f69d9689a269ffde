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

    private static ExecutionRecord run(String target, long from, long until) {
        return new ExecutionRecord(target, target + "-1", "request", "riverside", 7, "/", 1, from, until, "finished");
    }

    /** Guards against a check that passes whatever the records say. */
    @Test
    void findsASliceThatTwoTargetsHeldAtOnce() {
        assertThat(SliceOverlaps.find(List.of(grant("a", 0, 100), grant("b", 99, 200)), List.of()))
                .hasSize(1);
    }

    /** Guards against a run at one target that goes on while another one holds the slice. */
    @Test
    void findsARunThatOverlapsTheGrantOfAnother() {
        assertThat(SliceOverlaps.find(List.of(grant("b", 50, 200)), List.of(run("a", 0, 60))))
                .hasSize(1);
    }

    /** Guards against a long use that is forgotten after a shorter one of the same target. */
    @Test
    void findsAnOverlapWithALongUseBehindAShorterOne() {
        assertThat(SliceOverlaps.find(List.of(grant("a", 0, 100), grant("b", 80, 90)), List.of(run("a", 10, 20))))
                .hasSize(1);
    }

    /** Guards against false reports of uses that follow one another. */
    @Test
    void passesUsesThatFollowOneAnother() {
        assertThat(SliceOverlaps.find(
                        List.of(grant("a", 0, 100), grant("b", 100, 200), grant("a", 200, 300)),
                        List.of(run("a", 10, 20), run("b", 150, 160))))
                .isEmpty();
    }
}
