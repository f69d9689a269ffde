package org.snipewind.clients.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleAssignment;
import org.snipewind.coordination.ownership.SliceOwnership;
import org.snipewind.coordination.ownership.SliceTable;

/** Guards against records that lose content when they are stored or exceed the store's maximum value size. */
final class RecordCodecTest {

    @Test
    void aFleetRecordIsUnchangedAfterEncodingAndDecoding() {
        Member member = new Member("a-1", "centre", "one", "127.0.0.1:1", "127.0.0.1:2", List.of("b-1"));
        FleetRecord fleet =
                new FleetRecord(7, "w", Map.of("a-1", member), Map.of("target:x", new RoleAssignment("a-1", 9)));
        assertThat(RecordCodec.decodeFleetRecord(RecordCodec.encode(fleet))).isEqualTo(fleet);
        assertThat(RecordCodec.decodeFleetRecord(RecordCodec.encode(FleetRecord.EMPTY)))
                .isEqualTo(FleetRecord.EMPTY);
    }

    @Test
    void aSliceTableIsUnchangedAfterEncodingInFewBytesAndDecoding() {
        List<SliceOwnership> slices = new ArrayList<>(SliceTable.empty("p").slices());
        for (int slice = 1; slice < slices.size(); slice++) {
            slices.set(slice, new SliceOwnership(Optional.of("target-" + slice % 15), Optional.empty()));
        }
        slices.set(3, new SliceOwnership(Optional.of("target-1"), Optional.of("target-gone")));
        slices.set(4, new SliceOwnership(Optional.empty(), Optional.of("target-1")));
        SliceTable table = new SliceTable("p", 4, "w", slices);
        byte[] encoded = RecordCodec.encode(table);
        assertThat(RecordCodec.decodeSliceTable(encoded)).isEqualTo(table);
        assertThat(encoded.length).isLessThan(8_000);
        assertThat(RecordCodec.decodeSliceTable(RecordCodec.encode(SliceTable.empty("p"))))
                .isEqualTo(SliceTable.empty("p"));
    }
}
