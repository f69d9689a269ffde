package org.snipewind.router.state;

import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/**
 * Computes and applies patches, which contain only the changed ranges of a key table. Most changes concern a few of
 * hundreds of ranges.
 */
public final class KeyTablePatch {

    private KeyTablePatch() {}

    /**
     * Computes the patch between two tables.
     *
     * @param base the earlier table, encoded
     * @param changed the later table, encoded
     * @return the encoded patch, or empty if it would not be shorter than the later table or a table is malformed
     */
    public static Optional<byte[]> diff(byte[] base, byte[] changed) {
        Optional<KeyTable> earlier = RecordCodec.decodeKeyTable(base);
        Optional<WrittenKeyTable> later = RecordCodec.decodeWrittenTable(changed);
        if (earlier.isEmpty() || later.isEmpty()) {
            return Optional.empty();
        }
        Optional<List<KeyAssignment>> ranges = later.get().table().changesSince(earlier.get());
        return ranges.map(changes ->
                        RecordCodec.encode(new KeyTable(changes), later.get().era()))
                .filter(patch -> patch.length < changed.length);
    }

    /**
     * Applies a patch to a table.
     *
     * @param base the earlier table, encoded
     * @param patch the encoded patch
     * @return the later table, encoded, or empty if the table or the patch is malformed
     */
    public static Optional<byte[]> apply(byte[] base, byte[] patch) {
        Optional<KeyTable> earlier = RecordCodec.decodeKeyTable(base);
        Optional<WrittenKeyTable> changes = RecordCodec.decodeWrittenTable(patch);
        if (earlier.isEmpty() || changes.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(RecordCodec.encode(
                earlier.get().withAssignments(changes.get().table().assignments()),
                changes.get().era()));
    }
}
