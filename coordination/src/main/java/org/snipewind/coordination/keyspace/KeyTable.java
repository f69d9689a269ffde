package org.snipewind.coordination.keyspace;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The holders of all keys of a pool, in the order of the keys; immutable.
 *
 * @param assignments ranges that do not overlap, sorted; keys in no range have no holder
 */
public record KeyTable(List<KeyAssignment> assignments) {

    /** The largest key. */
    public static final int LAST_KEY = 65_535;

    /** A table in which no key has a holder. */
    public static final KeyTable EMPTY = new KeyTable(List.of());

    /** Copies and checks the ranges. */
    public KeyTable {
        assignments = List.copyOf(assignments);
        int next = 0;
        for (KeyAssignment each : assignments) {
            if (each.from() < next || each.to() < each.from() || each.to() > LAST_KEY) {
                throw new IllegalArgumentException("ranges overlap or are out of order at key " + each.from());
            }
            next = each.to() + 1;
        }
    }

    /**
     * Finds the range that contains a key.
     *
     * @param key the key
     * @return the range, or empty if the key has no holder
     */
    public Optional<KeyAssignment> find(int key) {
        int low = 0;
        int high = assignments.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            KeyAssignment candidate = assignments.get(middle);
            if (key < candidate.from()) {
                high = middle - 1;
            } else if (key > candidate.to()) {
                low = middle + 1;
            } else {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Gives the highest epoch in the table.
     *
     * @return the epoch, 0 for an empty table
     */
    public long highestEpoch() {
        return assignments.stream().mapToLong(KeyAssignment::epoch).max().orElse(0);
    }

    /**
     * Replaces whatever the table says of a range.
     *
     * @param replacement the new assignment of the range
     * @return the changed table
     */
    public KeyTable withAssignment(KeyAssignment replacement) {
        return withAssignments(List.of(replacement));
    }

    /**
     * Gives the ranges by which this table differs from an earlier one.
     *
     * @param earlier the earlier table
     * @return the ranges that make this table of the earlier one by {@link #withAssignments}, or empty if none do
     */
    public Optional<List<KeyAssignment>> changesSince(KeyTable earlier) {
        Set<KeyAssignment> known = new HashSet<>(earlier.assignments);
        List<KeyAssignment> changes =
                assignments.stream().filter(each -> !known.contains(each)).toList();
        return earlier.withAssignments(changes).equals(this) ? Optional.of(changes) : Optional.empty();
    }

    /**
     * Replaces whatever the table says of some ranges.
     *
     * @param replacements the new assignments, in the order of their keys and without overlaps
     * @return the changed table
     */
    public KeyTable withAssignments(List<KeyAssignment> replacements) {
        // One pass over both lists: each instance does this for each change of a table.
        List<KeyAssignment> changed = new ArrayList<>(assignments.size() + 2 * replacements.size());
        int next = 0;
        int replacedTo = -1;
        for (KeyAssignment each : assignments) {
            int from = Math.max(each.from(), replacedTo + 1);
            while (next < replacements.size() && replacements.get(next).from() <= each.to()) {
                KeyAssignment replacement = replacements.get(next);
                if (replacement.from() > from) {
                    changed.add(each.subrange(from, replacement.from() - 1));
                }
                changed.add(replacement);
                replacedTo = replacement.to();
                from = Math.max(from, replacedTo + 1);
                next++;
            }
            if (from <= each.to()) {
                changed.add(from == each.from() ? each : each.subrange(from, each.to()));
            }
        }
        changed.addAll(replacements.subList(next, replacements.size()));
        return new KeyTable(changed);
    }

    /**
     * Joins neighbouring ranges of one holder and epoch; ranges on their way to a holder stay as they are.
     *
     * @return the table with the fewest ranges that say the same
     */
    public KeyTable compacted() {
        List<KeyAssignment> joined = new ArrayList<>();
        for (KeyAssignment each : assignments) {
            int last = joined.size() - 1;
            if (last >= 0 && isContinued(joined.get(last), each)) {
                joined.set(last, each.subrange(joined.get(last).from(), each.to()));
            } else {
                joined.add(each);
            }
        }
        return new KeyTable(joined);
    }

    private static boolean isContinued(KeyAssignment first, KeyAssignment second) {
        return first.to() + 1 == second.from()
                && first.epoch() == second.epoch()
                && first.holder().equals(second.holder())
                && !first.isMoving()
                && !second.isMoving();
    }
}
