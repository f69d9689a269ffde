package org.snipewind.coordination.ownership;

import java.util.Map;
import java.util.Optional;

/** Plans the next slice table of a pool. */
public final class SliceAssignmentPlanner {

    private SliceAssignmentPlanner() {}

    /**
     * Plans one step. It clears completed releases, and then does the first of these that applies: moves slices off
     * targets that cannot keep them, moves slices to targets that have far too few, or moves single slices to balance
     * load.
     *
     * @param table the current table
     * @param targets health reports of all configured targets; a target without a recent report counts as suspected
     * @param loadBySlice load by slice number; a slice without an entry has no load
     * @param limits limits on the moves that balance load
     * @param writer unique id of the write
     * @return the next table, or empty if nothing changes
     */
    public static Optional<SliceTable> plan(
            SliceTable table,
            Map<String, TargetHealthReport> targets,
            Map<Integer, Long> loadBySlice,
            RebalanceLimits limits,
            String writer) {
        SliceTableDraft draft = new SliceTableDraft(table, targets, loadBySlice);
        draft.clearCompletedReleases();
        if (draft.hasLiveTargets()) {
            // Load is balanced only when nothing else moves, since the other moves change it.
            if (!draft.reassignDisplacedSlices() && !draft.fillUnderusedTargets()) {
                draft.balanceLoad(limits);
            }
        }
        return draft.slices().equals(table.slices())
                ? Optional.empty()
                : Optional.of(new SliceTable(table.pool(), table.version() + 1, writer, draft.slices()));
    }
}
