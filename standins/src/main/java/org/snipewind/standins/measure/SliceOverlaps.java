package org.snipewind.standins.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;

/** Finds times at which two targets held or served one slice, in the records of the targets. */
public final class SliceOverlaps {

    private record Use(String target, int slice, String what, long fromMicros, long untilMicros) {}

    private SliceOverlaps() {}

    /**
     * Compares all grants and executions with each other.
     *
     * @param grants times during which targets held slices
     * @param executions requests that targets ran
     * @return one line for each overlap of two targets
     */
    public static List<String> find(Collection<GrantInterval> grants, Collection<ExecutionRecord> executions) {
        Map<Integer, List<Use>> bySlice = new HashMap<>();
        for (GrantInterval grant : grants) {
            add(bySlice, new Use(grant.target(), grant.slice(), "held", grant.fromMicros(), grant.untilMicros()));
        }
        for (ExecutionRecord run : executions) {
            // A run that has not ended is counted at its start; the slices of undivided pools are negative.
            if (run.slice() >= 0) {
                long end = Math.max(run.startMicros(), run.endMicros());
                add(bySlice, new Use(run.target(), run.slice(), "ran " + run.requestId(), run.startMicros(), end));
            }
        }
        List<String> overlaps = new ArrayList<>();
        bySlice.values().forEach(uses -> compare(uses, overlaps));
        return overlaps;
    }

    private static void add(Map<Integer, List<Use>> bySlice, Use use) {
        bySlice.computeIfAbsent(use.slice(), slice -> new ArrayList<>()).add(use);
    }

    private static void compare(List<Use> uses, List<String> overlaps) {
        uses.sort(Comparator.comparingLong(Use::fromMicros));
        // The use of each target that ends last is enough to find whether a later one of another target overlaps.
        Map<String, Use> lastEnding = new HashMap<>();
        for (Use use : uses) {
            for (Use other : lastEnding.values()) {
                if (!other.target().equals(use.target()) && use.fromMicros() < other.untilMicros()) {
                    overlaps.add("slice " + use.slice() + ": " + use.target() + " " + use.what() + " from "
                            + use.fromMicros() + " while " + other.target() + " " + other.what() + " until "
                            + other.untilMicros());
                }
            }
            lastEnding.merge(
                    use.target(), use, (known, added) -> known.untilMicros() >= added.untilMicros() ? known : added);
        }
    }
}
