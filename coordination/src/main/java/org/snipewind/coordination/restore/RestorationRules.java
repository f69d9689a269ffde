package org.snipewind.coordination.restore;

import java.util.OptionalLong;

/** Decisions after the store was restored from an older copy. */
public final class RestorationRules {

    private RestorationRules() {}

    /**
     * Returns the time until which a leader of the earlier era may act, or its grants may be in force, although the
     * restored store does not list it. Its lease was last renewed before the restoration, which was before the new era
     * was learnt.
     *
     * @param eraLearntMillis time at which this instance learnt of the present era, empty for era 0
     * @param longestMillis longest time for which a right lasts that was acquired just before the restoration
     * @return the time, {@link Long#MIN_VALUE} if the store was never restored
     */
    public static long earlierRightsEndMillis(OptionalLong eraLearntMillis, long longestMillis) {
        return eraLearntMillis.isPresent() ? eraLearntMillis.getAsLong() + longestMillis : Long.MIN_VALUE;
    }

    /**
     * Decides between a table of holders that this instance knows and one that the restored store contains. A table
     * that was written in the present era always counts, since a leader acts by it. One that comes from the copy counts
     * unless a later one is known, which was lost.
     *
     * @param knownHighestEpoch highest epoch of the known table
     * @param storedHighestEpoch highest epoch of the table in the store
     * @param writtenEra era in which the table in the store was written
     * @param position position at which the store lists the table
     * @return true if the known table is the later one and stays in use
     */
    public static boolean keepsKnownTable(
            long knownHighestEpoch, long storedHighestEpoch, long writtenEra, long position) {
        return writtenEra < StorePosition.eraOf(position) && knownHighestEpoch > storedHighestEpoch;
    }

    /**
     * Returns the next epoch of a pool's keys. Epochs of an earlier era may have been assigned by a leader of which the
     * store has lost all traces, so the epochs of an era begin above all positions of the eras before it.
     *
     * @param highestEpoch highest known epoch
     * @param era the present era
     * @return an epoch above all that were ever assigned
     */
    public static long nextEpoch(long highestEpoch, long era) {
        return Math.max(highestEpoch, StorePosition.of(era, 0)) + 1;
    }
}
