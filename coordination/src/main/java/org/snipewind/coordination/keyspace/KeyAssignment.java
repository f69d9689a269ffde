package org.snipewind.coordination.keyspace;

import java.util.List;

/**
 * A range of keys and the target incarnation that holds it.
 *
 * @param from first key, inclusive
 * @param to last key, inclusive
 * @param holder target incarnation that holds the keys, or will hold them once all previous holders have released them
 * @param epoch fencing token of the grant; increases with each change of the holder
 * @param previousHolders other target incarnations that may still hold the keys; empty once none can
 */
public record KeyAssignment(int from, int to, String holder, long epoch, List<String> previousHolders) {

    /** Makes an immutable copy of the previous holders. */
    public KeyAssignment {
        previousHolders = List.copyOf(previousHolders);
    }

    /**
     * Returns whether the range is moving to a new holder.
     *
     * @return true while a previous holder may still hold keys of the range
     */
    public boolean isMoving() {
        return !previousHolders.isEmpty();
    }

    /**
     * Returns this range after all previous holders have given it up.
     *
     * @return the range with the same holder and epoch, not moving
     */
    public KeyAssignment settled() {
        return new KeyAssignment(from, to, holder, epoch, List.of());
    }

    /**
     * Returns a part of this range.
     *
     * @param first first key of the part
     * @param last last key of the part
     * @return the part, with the same holder, epoch and previous holders
     */
    public KeyAssignment subrange(int first, int last) {
        return new KeyAssignment(first, last, holder, epoch, previousHolders);
    }
}
