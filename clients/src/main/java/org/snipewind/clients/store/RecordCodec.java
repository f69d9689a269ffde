package org.snipewind.clients.store;

import io.micronaut.serde.annotation.SerdeImport;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleAssignment;
import org.snipewind.coordination.ownership.SliceTable;

/** Encodes the records of the store as JSON. */
@SerdeImport(FleetRecord.class)
@SerdeImport(Member.class)
@SerdeImport(RoleAssignment.class)
public final class RecordCodec {

    private RecordCodec() {}

    /**
     * Encodes a fleet record.
     *
     * @param fleetRecord the record
     * @return JSON in UTF-8
     */
    public static byte[] encode(FleetRecord fleetRecord) {
        return JsonCodec.encode(fleetRecord);
    }

    /**
     * Encodes a slice table in a compact form that holds the name of each target once.
     *
     * @param table the table
     * @return JSON in UTF-8
     */
    public static byte[] encode(SliceTable table) {
        return JsonCodec.encode(CompactSliceTable.of(table));
    }

    /**
     * Decodes a fleet record.
     *
     * @param content JSON in UTF-8
     * @return the record
     * @throws java.io.UncheckedIOException if the content is not a fleet record
     */
    public static FleetRecord decodeFleetRecord(byte[] content) {
        return JsonCodec.decode(content, FleetRecord.class);
    }

    /**
     * Decodes a slice table.
     *
     * @param content JSON in UTF-8
     * @return the table
     * @throws java.io.UncheckedIOException if the content is not a slice table
     */
    public static SliceTable decodeSliceTable(byte[] content) {
        return JsonCodec.decode(content, CompactSliceTable.class).toSliceTable();
    }
}
