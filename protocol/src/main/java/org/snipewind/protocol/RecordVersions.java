package org.snipewind.protocol;

import java.util.Map;

/**
 * Versions of the records that a daemon has.
 *
 * @param byName version by store key of the record
 */
public record RecordVersions(Map<String, Long> byName) {

    /** Copies the map. */
    public RecordVersions {
        byName = Map.copyOf(byName);
    }
}
