package org.snipewind.daemon.record;

import java.util.function.Function;
import org.snipewind.clients.store.RecordCodec;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;

/**
 * A type of record that daemons write.
 *
 * @param <T> class of the record
 * @param name store key
 * @param empty the value that represents a record that was never written
 * @param encode encoder
 * @param decode decoder
 * @param writerOf returns the id of the write that produced a record
 */
public record RecordType<T>(
        String name, T empty, Function<T, byte[]> encode, Function<byte[], T> decode, Function<T, String> writerOf) {

    /** The fleet record. */
    public static final RecordType<FleetRecord> FLEET = new RecordType<>(
            RecordNames.FLEET,
            FleetRecord.EMPTY,
            RecordCodec::encode,
            RecordCodec::decodeFleetRecord,
            FleetRecord::writer);

    /**
     * Returns the record type of the slice table of a pool.
     *
     * @param pool name of the pool
     * @return the record type
     */
    public static RecordType<SliceTable> table(String pool) {
        return new RecordType<>(
                RecordNames.table(pool),
                SliceTable.empty(pool),
                RecordCodec::encode,
                RecordCodec::decodeSliceTable,
                SliceTable::writer);
    }
}
