package org.snipewind.coordination.ownership;

import java.util.Map;
import java.util.Optional;

/** Plans the next slice table of a pool. */
public final class SliceAssignmentPlanner {

    private SliceAssignmentPlanner() {}

    /**
     * Plans at most one step: clears finished releases, moves slices off targets that cannot keep them, fills targets
     * that have far too few slices, or moves single slices to balance load.
     *
     * @param table the present table
     * @param targets views of all configured targets; one without a fresh report counts as suspected
     * @param loadBySlice load by slice number; a missing slice has none
     * @param limits limits of moves for balance
     * @param writer unique id of the write
     * @return the next table, or empty if nothing changes
     */
    public static Optional<SliceTable> plan(
            SliceTable table,
            Map<String, TargetHealthReport> targets,
            Map<Integer, Long> loadBySlice,
            RebalanceLimits limits,
            String writer) {
        SliceDraft draft = new SliceDraft(table, targets, loadBySlice);
        draft.clearReleases();
        if (draft.hasLiveTargets()) {
            // Loads are judged only when nothing else moves, since these moves change them.
            if (!draft.reassign() && !draft.fill()) {
                draft.balance(limits);
            }
        }
        return draft.slices().equals(table.slices())
                ? Optional.empty()
                : Optional.of(new SliceTable(table.pool(), table.version() + 1, writer, draft.slices()));
    }
}
