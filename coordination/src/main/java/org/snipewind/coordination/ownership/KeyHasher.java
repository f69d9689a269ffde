package org.snipewind.coordination.ownership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Maps keys to slices with a stable 64-bit hash. */
public final class KeyHasher {

    // The stored slice tables depend on the hash function: another one would move nearly every key to another slice.
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private KeyHasher() {}

    /**
     * Hashes a string.
     *
     * @param text the string
     * @return a 64-bit hash that is the same in every process
     */
    public static long hash(String text) {
        return HASHER.hashCharsToLong(text);
    }

    /**
     * Returns the slice of a key.
     *
     * @param key key of a request
     * @return slice number from 0 to {@link SliceTable#SLICE_COUNT} - 1
     */
    public static int sliceOf(String key) {
        return (int) Long.remainderUnsigned(hash(key), SliceTable.SLICE_COUNT);
    }
}
