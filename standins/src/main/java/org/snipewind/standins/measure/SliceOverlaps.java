package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;

/** Finds times at which two targets held or served the same slice, according to the records of the targets. */
public final class SliceOverlaps {

    private record SliceUse(String target, int slice, String description, long fromMicros, long untilMicros) {}

    private SliceOverlaps() {}

    /**
     * Compares all grants and executions with each other.
     *
     * @param grants times during which targets held slices
     * @param executions requests that targets ran
     * @return one line for each overlap of two targets
     */
    public static List<String> find(Collection<GrantInterval> grants, Collection<ExecutionRecord> executions) {
        Map<Integer, List<SliceUse>> usesBySlice = new HashMap<>();
        for (GrantInterval grant : grants) {
            add(
                    usesBySlice,
                    new SliceUse(grant.target(), grant.slice(), "held", grant.fromMicros(), grant.untilMicros()));
        }
        for (ExecutionRecord execution : executions) {
            // An execution without an end counts only at its start. Slices of undivided pools are negative.
            if (execution.slice() >= 0) {
                long endMicros = Math.max(execution.startMicros(), execution.endMicros());
                add(
                        usesBySlice,
                        new SliceUse(
                                execution.target(),
                                execution.slice(),
                                "ran " + execution.requestId(),
                                execution.startMicros(),
                                endMicros));
            }
        }
        List<String> overlaps = new ArrayList<>();
        usesBySlice.values().forEach(uses -> addOverlaps(uses, overlaps));
        return overlaps;
    }

    private static void add(Map<Integer, List<SliceUse>> usesBySlice, SliceUse use) {
        usesBySlice.computeIfAbsent(use.slice(), slice -> new ArrayList<>()).add(use);
    }

    private static void addOverlaps(List<SliceUse> uses, List<String> overlaps) {
        uses.sort(Comparator.comparingLong(SliceUse::fromMicros));
        // To detect an overlap with a later use by another target, the latest-ending use of each target suffices.
        Map<String, SliceUse> lastEndingByTarget = new HashMap<>();
        for (SliceUse use : uses) {
            for (SliceUse other : lastEndingByTarget.values()) {
                if (!other.target().equals(use.target()) && use.fromMicros() < other.untilMicros()) {
                    overlaps.add("slice " + use.slice() + ": " + use.target() + " " + use.description() + " from "
                            + use.fromMicros() + " while " + other.target() + " " + other.description() + " until "
                            + other.untilMicros());
                }
            }
            lastEndingByTarget.merge(
                    use.target(),
                    use,
                    (current, added) -> current.untilMicros() >= added.untilMicros() ? current : added);
        }
    }
}
