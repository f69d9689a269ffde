package org.snipewind.coordination.keyspace;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * An immutable table of the holders of a pool's keys.
 *
 * @param assignments non-overlapping ranges in the order of their keys; a key in no range has no holder
 */
public record KeyTable(List<KeyAssignment> assignments) {

    /** The largest key. */
    public static final int LAST_KEY = 65_535;

    /** A table in which no key has a holder. */
    public static final KeyTable EMPTY = new KeyTable(List.of());

    /**
     * Copies and checks the ranges.
     *
     * @throws IllegalArgumentException if ranges overlap, are out of order or lie outside the key space
     */
    public KeyTable {
        assignments = List.copyOf(assignments);
        int next = 0;
        for (KeyAssignment range : assignments) {
            if (range.from() < next || range.to() < range.from() || range.to() > LAST_KEY) {
                throw new IllegalArgumentException("ranges overlap or are out of order at key " + range.from());
            }
            next = range.to() + 1;
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
     * Returns the highest epoch in the table.
     *
     * @return the epoch, 0 for an empty table
     */
    public long highestEpoch() {
        return assignments.stream().mapToLong(KeyAssignment::epoch).max().orElse(0);
    }

    /**
     * Returns a copy of this table in which one range is reassigned; ranges that overlap it are cut.
     *
     * @param replacement the new assignment of the range
     * @return the changed table
     */
    public KeyTable withAssignment(KeyAssignment replacement) {
        return withAssignments(List.of(replacement));
    }

    /**
     * Returns the ranges in which this table differs from an earlier one.
     *
     * @param earlier the earlier table
     * @return the ranges that turn the earlier table into this one when passed to {@link #withAssignments}, or empty if
     *     the difference can't be expressed that way, as when keys have lost their holder
     */
    public Optional<List<KeyAssignment>> changesSince(KeyTable earlier) {
        Set<KeyAssignment> known = new HashSet<>(earlier.assignments);
        List<KeyAssignment> changes =
                assignments.stream().filter(range -> !known.contains(range)).toList();
        return earlier.withAssignments(changes).equals(this) ? Optional.of(changes) : Optional.empty();
    }

    /**
     * Returns a copy of this table in which some ranges are reassigned; ranges that overlap them are cut.
     *
     * @param replacements the new assignments, in the order of their keys and without overlaps
     * @return the changed table
     */
    public KeyTable withAssignments(List<KeyAssignment> replacements) {
        // A single pass over both lists, as every instance runs this for every change of a table.
        List<KeyAssignment> changed = new ArrayList<>(assignments.size() + 2 * replacements.size());
        int next = 0;
        int replacedTo = -1;
        for (KeyAssignment range : assignments) {
            int from = Math.max(range.from(), replacedTo + 1);
            while (next < replacements.size() && replacements.get(next).from() <= range.to()) {
                KeyAssignment replacement = replacements.get(next);
                if (replacement.from() > from) {
                    changed.add(range.subrange(from, replacement.from() - 1));
                }
                changed.add(replacement);
                replacedTo = replacement.to();
                from = Math.max(from, replacedTo + 1);
                next++;
            }
            if (from <= range.to()) {
                changed.add(from == range.from() ? range : range.subrange(from, range.to()));
            }
        }
        changed.addAll(replacements.subList(next, replacements.size()));
        return new KeyTable(changed);
    }

    /**
     * Returns a copy of this table in which all ranges have one epoch.
     *
     * @param epoch the epoch
     * @return the changed table
     */
    public KeyTable withEpoch(long epoch) {
        return new KeyTable(assignments.stream()
                .map(each -> new KeyAssignment(each.from(), each.to(), each.holder(), epoch, each.previousHolders()))
                .toList());
    }

    /**
     * Merges adjacent ranges that have the same holder and epoch; ranges that are moving stay as they are.
     *
     * @return an equivalent table with as few ranges as possible
     */
    public KeyTable compacted() {
        List<KeyAssignment> merged = new ArrayList<>();
        for (KeyAssignment range : assignments) {
            int last = merged.size() - 1;
            if (last >= 0 && isMergeable(merged.get(last), range)) {
                merged.set(last, range.subrange(merged.get(last).from(), range.to()));
            } else {
                merged.add(range);
            }
        }
        return new KeyTable(merged);
    }

    private static boolean isMergeable(KeyAssignment first, KeyAssignment second) {
        return first.to() + 1 == second.from()
                && first.epoch() == second.epoch()
                && first.holder().equals(second.holder())
                && !first.isMoving()
                && !second.isMoving();
    }
}
