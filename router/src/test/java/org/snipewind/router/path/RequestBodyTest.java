package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.router.http.BufferMemory;

/** Guards against a repeat that sends a changed body, and against bodies that take more memory than is reserved. */
final class RequestBodyTest {

    private static final int PART_BYTES = 7_001;
    private static final int LENGTH = 40 * PART_BYTES;

    private final BufferMemory memory = new BufferMemory(1 << 20, 1_000);
    private final BufferMemory noLargeMemory = new BufferMemory(0, 0);
    private final byte[] bytes = new byte[LENGTH];

    RequestBodyTest() {
        new Random(1).nextBytes(bytes);
    }

    @Test
    void everyAttemptGetsTheWholeBody() {
        for (long announced : new long[] {LENGTH, -1}) {
            RequestBody body = receive(announced);
            ByteBuf first = body.content();
            first.skipBytes(LENGTH / 2);
            assertThat(ByteBufUtil.getBytes(body.content())).isEqualTo(bytes);
            first.release();
            assertThat(ByteBufUtil.getBytes(body.content())).isEqualTo(bytes);
        }
    }

    /** A body in one piece would be copied as it grows, and again for each write outside the heap. */
    @Test
    void aLargeBodyIsKeptInPiecesThatTakeNoMoreThanItsLength() {
        ByteBuf content = receive(LENGTH).content();
        int capacity = 0;
        for (ByteBuffer piece : content.nioBuffers()) {
            assertThat(piece.array().length).isAtMost(64 * 1024);
            capacity += piece.array().length;
        }
        assertThat(capacity).isEqualTo(LENGTH);
    }

    /** A thousand callers that wait for memory must not take a large piece each. */
    @Test
    void theFirstPartOfALargeBodyTakesNoMoreThanItsOwnBytes() {
        RequestBody body = RequestBody.receive(memory, noLargeMemory, LENGTH);
        body.append(Unpooled.wrappedBuffer(bytes, 0, 500));
        assertThat(body.content().nioBuffers()[0].array().length).isEqualTo(500);
    }

    @Test
    void aReleasedBodyIsNeverSent() {
        RequestBody body = receive(LENGTH);
        assertThat(body.reserveAnnounced(granted -> {})).isTrue();
        body.release();
        body.release();
        assertThat(memory.reservedBytes()).isEqualTo(0);
        assertThrows(IllegalStateException.class, body::content);
    }

    /** A body of the longest permitted length takes more memory than the heap of an instance has for all bodies. */
    @Test
    void aBodyThatTheHeapCanNotHoldIsKeptOutsideItUntilTheLastAttemptHasEnded() {
        BufferMemory largeMemory = new BufferMemory(4 * LENGTH, 0);
        RequestBody body = RequestBody.receive(new BufferMemory(LENGTH - 1), largeMemory, LENGTH);
        assertThat(body.reserveAnnounced(granted -> {})).isTrue();
        body.append(Unpooled.wrappedBuffer(bytes));
        ByteBuf content = body.content();
        assertThat(largeMemory.reservedBytes()).isEqualTo(LENGTH);
        assertThat(body.heldBytes()).isEqualTo(LENGTH);
        assertThat(content.isDirect()).isTrue();
        body.release();
        assertThat(largeMemory.reservedBytes()).isEqualTo(0);
        assertThat(ByteBufUtil.getBytes(content)).isEqualTo(bytes);
        assertThat(content.release()).isTrue();
    }

    /** A chunked body is reserved as it arrives; what is reserved must be what it takes, on the heap and outside. */
    @Test
    void theMemoryOfABodyOfUnknownLengthIsReservedByItsPieces() {
        BufferMemory heapMemory = new BufferMemory(8 << 20, 0);
        BufferMemory largeMemory = new BufferMemory(8 << 20, 0);
        RequestBody body = RequestBody.receive(heapMemory, largeMemory, -1);
        Random random = new Random(2);
        while (body.length() < 3 << 20) {
            int size = 1 + random.nextInt(8_192);
            assertThat(body.reserve(size, granted -> {})).isTrue();
            body.append(Unpooled.wrappedBuffer(new byte[size]));
            assertThat(heapMemory.reservedBytes() + largeMemory.reservedBytes()).isEqualTo(body.heldBytes());
        }
        assertThat(heapMemory.reservedBytes()).isAtMost((1 << 20) + (64 << 10));
        assertThat(largeMemory.reservedBytes()).isAtLeast(1 << 20);
        body.release();
        assertThat(heapMemory.reservedBytes() + largeMemory.reservedBytes()).isEqualTo(0);
    }

    private RequestBody receive(long announcedBytes) {
        RequestBody body = RequestBody.receive(memory, noLargeMemory, announcedBytes);
        for (int offset = 0; offset < LENGTH; offset += PART_BYTES) {
            body.append(Unpooled.wrappedBuffer(bytes, offset, PART_BYTES));
        }
        return body;
    }
}
