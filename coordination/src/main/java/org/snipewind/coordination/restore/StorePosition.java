package org.snipewind.coordination.restore;

/**
 * Positions in the history of the store, ordered by era and revision together. A store that is restored from an older
 * copy begins a new era, in which it assigns earlier revisions again. In era 0, a position is the revision itself.
 */
public final class StorePosition {

    /** Bits of a position that hold the revision; at 1,200 writes a second, they last for 29 years. */
    private static final int REVISION_BITS = 40;

    private static final long REVISION_LIMIT = 1L << REVISION_BITS;

    /** Largest era whose positions are integers below 2^53, which JSON numbers hold exactly. */
    public static final long MAX_ERA = (1L << 53 - REVISION_BITS) - 1;

    private StorePosition() {}

    /**
     * Returns the position of a revision in an era.
     *
     * @param era number of the era, from 0 to {@link #MAX_ERA}
     * @param revision revision within the era, not negative
     * @return the position
     * @throws IllegalArgumentException if the era, or the revision of a later era than 0, is out of range
     */
    public static long of(long era, long revision) {
        if (era < 0 || era > MAX_ERA || revision < 0 || era > 0 && revision >= REVISION_LIMIT) {
            throw new IllegalArgumentException("era " + era + " or revision " + revision + " is out of range");
        }
        return era * REVISION_LIMIT + revision;
    }

    /**
     * Returns the era of a position.
     *
     * @param position the position
     * @return number of the era
     */
    public static long eraOf(long position) {
        return position >> REVISION_BITS;
    }

    /**
     * Returns the revision of a position within its era.
     *
     * @param position the position
     * @return the revision
     */
    public static long revisionOf(long position) {
        return position & REVISION_LIMIT - 1;
    }

    /**
     * Returns whether a position is of an earlier era than another one.
     *
     * @param position the position
     * @param other the other position
     * @return true if the store was restored between the two
     */
    public static boolean isOfEarlierEra(long position, long other) {
        return eraOf(position) < eraOf(other);
    }
}
