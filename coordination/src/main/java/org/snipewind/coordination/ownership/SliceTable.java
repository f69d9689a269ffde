package org.snipewind.coordination.ownership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The assignment of a pool's slices to targets; the stored table changes only by compare-and-swap.
 *
 * @param pool name of the pool
 * @param version version that increases by one with each write; 0 for a table that was never written
 * @param writer unique id of the write, which tells whether a write was applied when the store's response is lost
 * @param slices ownership by slice number
 */
public record SliceTable(String pool, long version, String writer, List<SliceOwnership> slices) {

    /** Number of slices of a pool; with 1,024 of them, one slice has less than a tenth of a per cent of the keys. */
    public static final int SLICE_COUNT = 1024;

    /** Makes an immutable copy of the list of slices. */
    public SliceTable {
        slices = List.copyOf(slices);
    }

    /**
     * Creates a table that was never written.
     *
     * @param pool name of the pool
     * @return a table of version 0 without owners
     */
    public static SliceTable empty(String pool) {
        return new SliceTable(pool, 0, "", java.util.Collections.nCopies(SLICE_COUNT, SliceOwnership.UNASSIGNED));
    }

    /**
     * Lists the slices that a target may serve.
     *
     * @param target name of the target
     * @return slice numbers in ascending order
     */
    public Set<Integer> servableBy(String target) {
        Set<Integer> numbers = new TreeSet<>();
        for (int slice = 0; slice < slices.size(); slice++) {
            if (slices.get(slice).isServableBy(target)) {
                numbers.add(slice);
            }
        }
        return numbers;
    }
}
