package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** Guards against a receiver that gets another key table from a patch than the sender wrote. */
final class KeyTablePatchTest {

    private static final int TARGET_COUNT = 60;

    private static KeyTable table(int rangeCount) {
        List<KeyAssignment> assignments = new ArrayList<>();
        int width = (KeyTable.LAST_KEY + 1) / rangeCount;
        for (int range = 0; range < rangeCount; range++) {
            int to = range == rangeCount - 1 ? KeyTable.LAST_KEY : (range + 1) * width - 1;
            assignments.add(new KeyAssignment(range * width, to, "t" + range % TARGET_COUNT, 7, List.of()));
        }
        return new KeyTable(assignments);
    }

    @Property(tries = 300)
    void theReceiverGetsTheSameBytesAsTheSenderWrote(
            @ForAll @IntRange(min = 0, max = KeyTable.LAST_KEY) int first,
            @ForAll @IntRange(min = 0, max = 3_000) int width,
            @ForAll @IntRange(min = 0, max = TARGET_COUNT - 1) int holder,
            @ForAll boolean moving) {
        KeyTable base = table(400);
        int last = Math.min(KeyTable.LAST_KEY, first + width);
        List<String> previous = moving ? List.of("t1", "t2") : List.of();
        KeyTable changed = base.withAssignment(new KeyAssignment(first, last, "t" + holder, 9, previous))
                .compacted();
        byte[] whole = RecordCodec.encode(changed);
        Optional<byte[]> patch = KeyTablePatch.diff(RecordCodec.encode(base), whole);
        patch.ifPresent(bytes -> assertThat(
                        KeyTablePatch.apply(RecordCodec.encode(base), bytes).orElseThrow())
                .isEqualTo(whole));
    }

    @Test
    void thePatchOfOneMoveInATableOfHundredsOfRangesIsSmall() {
        KeyTable base = table(400);
        KeyTable changed = base.withAssignment(new KeyAssignment(1_000, 1_200, "t5", 9, List.of("t6")));
        byte[] whole = RecordCodec.encode(changed);
        byte[] patch = KeyTablePatch.diff(RecordCodec.encode(base), whole).orElseThrow();
        assertThat(patch.length).isLessThan(whole.length / 20);
    }

    @Test
    void malformedTablesGiveNoPatch() {
        byte[] table = RecordCodec.encode(table(4));
        assertThat(KeyTablePatch.diff(new byte[] {1}, table)).isEmpty();
        assertThat(KeyTablePatch.apply(table, new byte[] {1})).isEmpty();
    }

    @Test
    void thereIsNoPatchToAnEmptyTable() {
        byte[] empty = RecordCodec.encode(KeyTable.EMPTY);
        assertThat(KeyTablePatch.diff(RecordCodec.encode(table(4)), empty)).isEmpty();
    }
}
