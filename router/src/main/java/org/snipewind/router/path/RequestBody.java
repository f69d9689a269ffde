package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.snipewind.router.http.BufferMemory;

/**
 * The body of a caller's request, with the memory that is reserved for it until the request has ended. Confined to the
 * event loop of the caller's connection.
 */
final class RequestBody {

    /**
     * Bodies are kept in pieces of at most this size: a growing array would be copied again and again, and each write
     * to a target takes as much memory outside the heap as the piece has bytes.
     */
    private static final int MAX_PIECE_BYTES = 64 * 1024;

    private final Optional<BufferMemory.Reservation> memory;
    private final List<ByteBuf> pieces = new ArrayList<>();
    private final long announcedBytes;
    private int length;
    private boolean released;

    private RequestBody(Optional<BufferMemory.Reservation> memory, long announcedBytes) {
        this.memory = memory;
        this.announcedBytes = announcedBytes;
    }

    /** Creates a body that stays empty. */
    static RequestBody empty() {
        return new RequestBody(Optional.empty(), 0);
    }

    /**
     * Starts to receive a body.
     *
     * @param memory memory of all bodies
     * @param announcedBytes length of the body, -1 if it was not announced
     */
    static RequestBody receive(BufferMemory memory, long announcedBytes) {
        return new RequestBody(Optional.of(memory.open()), announcedBytes);
    }

    /** Reserves memory; returns false if it is not available now, and calls back when it is. */
    boolean reserve(long bytes, Runnable granted) {
        return memory.orElseThrow().extend(bytes, granted);
    }

    boolean isLengthAnnounced() {
        return announcedBytes >= 0;
    }

    int length() {
        return length;
    }

    /** Copies bytes, as the receive buffer that contains them may be much larger than what was received. */
    void append(ByteBuf received) {
        while (received.isReadable()) {
            if (pieces.isEmpty() || !lastPiece().isWritable()) {
                pieces.add(Unpooled.buffer(pieceBytes(received.readableBytes())));
            }
            int copied = Math.min(received.readableBytes(), lastPiece().writableBytes());
            lastPiece().writeBytes(received, copied);
            length += copied;
        }
    }

    private ByteBuf lastPiece() {
        return pieces.get(pieces.size() - 1);
    }

    /** Returns the size of the next piece, which grows with the body: one that waits for memory takes little. */
    private int pieceBytes(int receivedBytes) {
        int bytes = Math.min(MAX_PIECE_BYTES, Math.max(receivedBytes, length));
        return isLengthAnnounced() ? (int) Math.min(bytes, announcedBytes - length) : bytes;
    }

    /** Counts all bytes received as reserved, after the last of them. */
    void complete() {
        memory.ifPresent(BufferMemory.Reservation::takeAwaited);
    }

    /** Returns the whole body for one attempt, which releases it after writing; the bytes are not copied. */
    ByteBuf content() {
        if (released) {
            throw new IllegalStateException("the memory of the body has been released");
        }
        return Unpooled.wrappedBuffer(
                pieces.stream().map(ByteBuf::retainedDuplicate).toArray(ByteBuf[]::new));
    }

    /** Drops the body and releases its memory; later calls have no effect. */
    void release() {
        released = true;
        pieces.clear();
        memory.ifPresent(BufferMemory.Reservation::release);
    }
}
