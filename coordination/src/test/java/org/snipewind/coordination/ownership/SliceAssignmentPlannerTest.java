package org.snipewind.coordination.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class SliceAssignmentPlannerTest {

    private static final RebalanceLimits LIMITS = new RebalanceLimits(1.2, 5);

    private static Map<String, TargetHealthReport> views(TargetHealth standing, long released, String... names) {
        Map<String, TargetHealthReport> views = new HashMap<>();
        for (String name : names) {
            views.put(name, new TargetHealthReport(name, standing, released));
        }
        return views;
    }

    private static SliceTable plan(SliceTable table, Map<String, TargetHealthReport> views) {
        return SliceAssignmentPlanner.plan(table, views, Map.of(), LIMITS, "w").orElseThrow();
    }

    @Test
    void newPoolIsSpreadAndNeedsNoFurtherPlan() {
        Map<String, TargetHealthReport> views = views(TargetHealth.LIVE, 0, "a", "b", "c", "d");
        SliceTable table = plan(SliceTable.empty("p"), views);
        assertThat(table.version()).isEqualTo(1);
        assertThat(table.servableBy("a")).hasSize(256);
        assertThat(SliceAssignmentPlanner.plan(table, views, Map.of(), LIMITS, "w"))
                .isEmpty();
        assertThat(SliceAssignmentPlanner.plan(
                        table, views(TargetHealth.SUSPECTED, 9, "a", "b", "c", "d"), Map.of(), LIMITS, "w"))
                .isEmpty();
    }

    // Guards against two owners: a live or leaving target keeps its slices until it has released them.
    @Test
    void leavingTargetReleasesBeforeTheNewOwnerServesAndLostTargetAtOnce() {
        SliceTable table = plan(SliceTable.empty("p"), views(TargetHealth.LIVE, 0, "a", "b"));
        Map<String, TargetHealthReport> views = views(TargetHealth.LIVE, 0, "b");
        views.put("a", new TargetHealthReport("a", TargetHealth.LEAVING, 1));
        SliceTable moving = plan(table, views);
        assertThat(moving.servableBy("b")).hasSize(512);
        assertThat(SliceAssignmentPlanner.plan(moving, views, Map.of(), LIMITS, "w"))
                .isEmpty();
        views.put("a", new TargetHealthReport("a", TargetHealth.LEAVING, 2));
        assertThat(plan(moving, views).servableBy("b")).hasSize(1024);
        views.put("a", new TargetHealthReport("a", TargetHealth.LOST, 0));
        assertThat(plan(table, views).servableBy("b")).hasSize(1024);
        views.remove("a");
        assertThat(plan(table, views).servableBy("b")).hasSize(512);
    }

    // Guards against a move that forgets the original holder when the new owner is lost before it served.
    @Test
    void lossOfNewOwnerKeepsTheOriginalRelease() {
        SliceOwnership moving = new SliceOwnership(Optional.of("b"), Optional.of("a"));
        SliceTable table = new SliceTable("p", 7, "w", java.util.Collections.nCopies(4, moving));
        Map<String, TargetHealthReport> views = views(TargetHealth.LIVE, 0, "c");
        views.put("a", new TargetHealthReport("a", TargetHealth.LEAVING, 6));
        views.put("b", new TargetHealthReport("b", TargetHealth.LOST, 0));
        assertThat(plan(table, views).slices().get(0))
                .isEqualTo(new SliceOwnership(Optional.of("c"), Optional.of("a")));
    }

    @Test
    void returnedTargetIsFilledToTheMean() {
        SliceTable table = plan(SliceTable.empty("p"), views(TargetHealth.LIVE, 0, "a", "b", "c"));
        Map<String, TargetHealthReport> views = views(TargetHealth.LIVE, 0, "a", "b", "c", "d");
        SliceTable filled = plan(table, views);
        assertThat(filled.slices().stream()
                        .filter(slice -> slice.owner().equals(Optional.of("d")))
                        .count())
                .isEqualTo(256);
        assertThat(SliceAssignmentPlanner.plan(filled, views, Map.of(), LIMITS, "w"))
                .isEmpty();
    }

    // Guards against churn: with all targets live, load moves at most the allowed slices, and only off the threshold.
    @Property(tries = 50, seed = "1")
    void churnIsBoundedAndImbalanceFalls(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, TargetHealthReport> views = views(TargetHealth.LIVE, Long.MAX_VALUE, "a", "b", "c", "d", "e");
        SliceTable table = plan(SliceTable.empty("p"), views);
        Map<Integer, Long> loads = new HashMap<>();
        for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
            loads.put(slice, table.servableBy("a").contains(slice) ? 150L + random.nextInt(50) : 100L);
        }
        for (int step = 0; step < 200; step++) {
            Optional<SliceTable> next = SliceAssignmentPlanner.plan(table, views, loads, LIMITS, "w");
            if (next.isEmpty()) {
                break;
            }
            int moved = 0;
            for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
                boolean same = next.get()
                        .slices()
                        .get(slice)
                        .owner()
                        .equals(table.slices().get(slice).owner());
                moved += same ? 0 : 1;
            }
            assertThat(moved).isAtMost(5);
            table = next.get();
        }
        SliceTable last = table;
        long most = views.keySet().stream()
                .mapToLong(target ->
                        last.servableBy(target).stream().mapToLong(loads::get).sum())
                .max()
                .orElseThrow();
        assertThat(most
                        * 5.0
                        / loads.values().stream().mapToLong(Long::longValue).sum())
                .isAtMost(1.2);
    }
}
