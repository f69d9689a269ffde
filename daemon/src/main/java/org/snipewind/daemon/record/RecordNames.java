package org.snipewind.daemon.record;

/** Store keys of the records. */
public final class RecordNames {

    /** Key of the configuration revision in force. */
    public static final String CONFIGURATION = "configuration/current";
    /** Key of the fleet record. */
    public static final String FLEET = "fleet";

    private static final String TABLE_PREFIX = "assignment/";

    private RecordNames() {}

    /**
     * Returns the store key of the slice table of a pool.
     *
     * @param pool name of the pool
     * @return the store key
     */
    public static String table(String pool) {
        return TABLE_PREFIX + pool;
    }

    /**
     * Returns whether a store key is that of a slice table.
     *
     * @param name store key
     * @return true for the key of a slice table
     */
    public static boolean isTable(String name) {
        return name.startsWith(TABLE_PREFIX);
    }
}
