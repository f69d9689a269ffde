package org.snipewind.coordination.keyspace;

import java.util.List;

/**
 * A range of keys and the life of the target that holds it.
 *
 * @param from first key
 * @param to last key
 * @param holder life of the target that holds the keys, or gets them once the previous holder has given them up
 * @param epoch fencing token of the grant; rises with each change of the holder
 * @param previousHolders other lives that may still hold the keys, empty once none can
 */
public record KeyAssignment(int from, int to, String holder, long epoch, List<String> previousHolders) {

    /** Copies the lives. */
    public KeyAssignment {
        previousHolders = List.copyOf(previousHolders);
    }

    /**
     * Tells whether the range is on its way to a new holder.
     *
     * @return true while another life may still hold keys
     */
    public boolean isMoving() {
        return !previousHolders.isEmpty();
    }

    /**
     * Copies a part of the range.
     *
     * @param first first key of the part
     * @param last last key of the part
     * @return the part under the same holder and epoch
     */
    public KeyAssignment subrange(int first, int last) {
        return new KeyAssignment(first, last, holder, epoch, previousHolders);
    }
}
