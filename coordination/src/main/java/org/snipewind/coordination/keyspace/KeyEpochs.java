package org.snipewind.coordination.keyspace;

import java.util.OptionalLong;

/**
 * The numbering of epochs. A leader writes the epoch of each change of holders to the key table. The epochs that follow
 * it up to the next multiple of {@value #RENEWALS} are for renewals of its grants and are not written, so that grants
 * can go on under a higher epoch while the store is unavailable.
 */
public final class KeyEpochs {

    /** Distance between written epochs. */
    private static final long RENEWALS = 1L << 10;

    private KeyEpochs() {}

    /**
     * Returns the next epoch to write to the table.
     *
     * @param lowest lowest epoch that is above all written ones
     * @return an epoch that is also above those that renewals have used after the written ones
     */
    public static long nextWritten(long lowest) {
        return (lowest + RENEWALS - 1) / RENEWALS * RENEWALS;
    }

    /**
     * Returns the next epoch of renewals.
     *
     * @param highest highest epoch of the written table, or of the renewals to the same target if that is higher
     * @return the epoch, empty if the next one may be written by a later leader
     */
    public static OptionalLong nextRenewal(long highest) {
        long next = highest + 1;
        return next % RENEWALS == 0 ? OptionalLong.empty() : OptionalLong.of(next);
    }
}
