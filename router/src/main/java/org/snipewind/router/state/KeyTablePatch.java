package org.snipewind.router.state;

import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** Sends the changed ranges of a table of holders in place of the whole; most changes concern a few of hundreds. */
public final class KeyTablePatch {

    private KeyTablePatch() {}

    /**
     * Works out what changed.
     *
     * @param base bytes of the earlier table
     * @param changed bytes of the later table
     * @return the change, or empty if the whole table is shorter or either can't be read
     */
    public static Optional<byte[]> diff(byte[] base, byte[] changed) {
        Optional<KeyTable> earlier = RecordCodec.decodeKeyTable(base);
        Optional<KeyTable> later = RecordCodec.decodeKeyTable(changed);
        if (earlier.isEmpty() || later.isEmpty()) {
            return Optional.empty();
        }
        Optional<List<KeyAssignment>> ranges = later.get().changesSince(earlier.get());
        return ranges.map(changes -> RecordCodec.encode(new KeyTable(changes)))
                .filter(patch -> patch.length < changed.length);
    }

    /**
     * Applies a change.
     *
     * @param base bytes of the earlier table
     * @param difference the change
     * @return bytes of the later table, or empty if either can't be read
     */
    public static Optional<byte[]> apply(byte[] base, byte[] difference) {
        Optional<KeyTable> earlier = RecordCodec.decodeKeyTable(base);
        Optional<KeyTable> changes = RecordCodec.decodeKeyTable(difference);
        if (earlier.isEmpty() || changes.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                RecordCodec.encode(earlier.get().withAssignments(changes.get().assignments())));
    }
}
