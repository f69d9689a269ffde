package org.snipewind.router.state;

import java.util.HashMap;
import java.util.Map;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.restore.RestorationRules;

/**
 * The key table of each pool. If the store was restored from a copy that lacks the latest table, the one that is known
 * here stays in use, until a leader has written a table in the new era. Confined to the control event loop.
 */
final class KnownKeyTables {

    private final Map<String, KeyTable> tables = new HashMap<>();

    /** Returns an immutable copy of the tables by pool. */
    Map<String, KeyTable> tables() {
        return Map.copyOf(tables);
    }

    /**
     * Applies a table of the store.
     *
     * @param pool name of the pool
     * @param stored the table
     * @param position position at which the store lists it
     * @return false if the known table is a later one and stays in use
     */
    boolean apply(String pool, WrittenKeyTable stored, long position) {
        KeyTable known = tables.getOrDefault(pool, KeyTable.EMPTY);
        if (RestorationRules.keepsKnownTable(
                known.highestEpoch(), stored.table().highestEpoch(), stored.era(), position)) {
            return false;
        }
        tables.put(pool, stored.table());
        return true;
    }

    /** Removes the table of a pool. */
    void remove(String pool) {
        tables.remove(pool);
    }
}
