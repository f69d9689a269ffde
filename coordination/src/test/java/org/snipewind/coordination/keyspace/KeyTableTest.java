package org.snipewind.coordination.keyspace;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against keys that get no holder or two when ranges are cut and merged. */
final class KeyTableTest {

    private static final KeyAssignment ALL = new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 5, List.of());

    @Test
    void reassigningTheMiddleOfARangeLeavesBothEndsWithTheirHolder() {
        KeyTable table =
                new KeyTable(List.of(ALL)).withAssignment(new KeyAssignment(100, 199, "b@1", 6, List.of("a@1")));
        assertThat(table.find(99).orElseThrow().holder()).isEqualTo("a@1");
        assertThat(table.find(100).orElseThrow().holder()).isEqualTo("b@1");
        assertThat(table.find(199).orElseThrow().isMoving()).isTrue();
        assertThat(table.find(200).orElseThrow().epoch()).isEqualTo(5);
        assertThat(table.highestEpoch()).isEqualTo(6);
    }

    @Test
    void aReassignmentOverSeveralRangesReplacesThemAll() {
        KeyTable table = new KeyTable(List.of(
                        new KeyAssignment(0, 9, "a@1", 1, List.of()),
                        new KeyAssignment(10, 19, "b@1", 1, List.of()),
                        new KeyAssignment(20, 29, "c@1", 1, List.of())))
                .withAssignment(new KeyAssignment(5, 24, "d@1", 2, List.of()));
        assertThat(table.assignments().stream().map(KeyAssignment::holder))
                .containsExactly("a@1", "d@1", "c@1")
                .inOrder();
    }

    @Test
    void aKeyOutsideAllRangesHasNoHolder() {
        KeyTable table = new KeyTable(List.of(new KeyAssignment(10, 19, "a@1", 1, List.of())));
        assertThat(table.find(9)).isEmpty();
        assertThat(table.find(20)).isEmpty();
    }

    @Test
    void adjacentRangesOfOneHolderAndEpochAreMerged() {
        KeyTable table = new KeyTable(List.of(
                        new KeyAssignment(0, 9, "a@1", 1, List.of()),
                        new KeyAssignment(10, 19, "a@1", 1, List.of()),
                        new KeyAssignment(20, 29, "a@1", 2, List.of())))
                .compacted();
        assertThat(table.assignments()).hasSize(2);
        assertThat(table.find(19).orElseThrow().from()).isEqualTo(0);
    }

    @Test
    void reassigningManyRangesAtOnceLeavesAllOtherKeysWithTheirHolder() {
        Random random = new Random(5);
        for (int round = 0; round < 100; round++) {
            KeyTable table = new KeyTable(randomRanges(random, 40, "old"));
            List<KeyAssignment> changes = randomRanges(random, 12, "new");
            KeyTable changed = table.withAssignments(changes);
            KeyTable onlyChanges = new KeyTable(changes);
            for (int key = 0; key <= KeyTable.LAST_KEY; key += 7) {
                Optional<KeyAssignment> before = table.find(key);
                Optional<String> holder = onlyChanges.find(key).or(() -> before).map(KeyAssignment::holder);
                assertWithMessage("round %s key %s", round, key)
                        .that(changed.find(key).map(KeyAssignment::holder))
                        .isEqualTo(holder);
            }
        }
    }

    private static List<KeyAssignment> randomRanges(Random random, int count, String prefix) {
        List<Integer> bounds = random.ints(2L * count, 0, KeyTable.LAST_KEY + 1)
                .distinct()
                .sorted()
                .boxed()
                .toList();
        List<KeyAssignment> ranges = new ArrayList<>();
        for (int index = 0; index + 1 < bounds.size(); index += 2) {
            // About half of the ranges begin right after the previous one.
            int from = random.nextBoolean() && !ranges.isEmpty()
                    ? ranges.get(ranges.size() - 1).to() + 1
                    : bounds.get(index);
            ranges.add(new KeyAssignment(from, bounds.get(index + 1), prefix + index, 1, List.of()));
        }
        return ranges;
    }

    @Test
    void overlappingRangesAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new KeyTable(List.of(ALL, new KeyAssignment(5, 9, "b@1", 6, List.of()))));
    }
}
