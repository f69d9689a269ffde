package org.snipewind.router.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against large responses that exhaust the heap, and against responses that wait for memory without end. */
final class BufferMemoryTest {

    private static final long LARGE = 540_000;

    private final BufferMemory memory = new BufferMemory(2 * LARGE);
    private final List<String> granted = new ArrayList<>();

    @Test
    void largeResponsesBeyondTheLimitWaitInTheOrderOfTheirArrival() {
        BufferMemory.Reservation first = reserve("first", LARGE);
        BufferMemory.Reservation second = reserve("second", LARGE);
        reserve("third", LARGE);
        reserve("fourth", LARGE);
        assertThat(memory.isExhausted()).isTrue();
        second.release();
        assertThat(granted).containsExactly("third");
        first.release();
        assertThat(granted).containsExactly("third", "fourth").inOrder();
        assertThat(memory.isExhausted()).isFalse();
    }

    @Test
    void aSmallResponseNeverWaitsBehindLargeOnes() {
        reserve("first", 2 * LARGE);
        reserve("second", LARGE);
        assertThat(memory.open().extend(400, () -> {})).isTrue();
    }

    @Test
    void aResponseThatIsDroppedWhileItWaitsTakesNoMemory() {
        BufferMemory.Reservation first = reserve("first", 2 * LARGE);
        BufferMemory.Reservation second = reserve("second", LARGE);
        second.release();
        first.release();
        assertThat(granted).isEmpty();
        assertThat(memory.reservedBytes()).isEqualTo(0);
    }

    @Test
    void bytesAreReleasedOnce() {
        BufferMemory.Reservation first = reserve("first", LARGE);
        reserve("second", LARGE);
        first.release();
        first.release();
        assertThat(memory.reservedBytes()).isEqualTo(LARGE);
    }

    @Test
    void bytesThatHaveBeenReceivedCountAtOnce() {
        reserve("first", 2 * LARGE);
        BufferMemory.Reservation second = reserve("second", LARGE);
        second.takeAwaited();
        assertThat(memory.reservedBytes()).isEqualTo(3 * LARGE);
        assertThat(memory.isExhausted()).isFalse();
    }

    private BufferMemory.Reservation reserve(String name, long bytes) {
        BufferMemory.Reservation reservation = memory.open();
        reservation.extend(bytes, () -> granted.add(name));
        return reservation;
    }
}
