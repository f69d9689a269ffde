package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.snipewind.router.http.BufferMemory;

/**
 * The body of a caller's request, with the memory that is reserved for it until the request has ended. Bodies that the
 * heap can't hold, and the rest of long bodies of unknown length, are kept outside the heap. Confined to the event loop
 * of the caller's connection.
 */
final class RequestBody {

    /**
     * Bodies are kept in pieces of at most this size: a growing array would be copied again and again, and each write
     * to a target takes as much memory outside the heap as the piece has bytes.
     */
    private static final int MAX_PIECE_BYTES = 64 * 1024;

    /** Size of pieces outside the heap; the C library returns pieces of this size to the system when they are freed. */
    private static final int LARGE_PIECE_BYTES = 256 * 1024;

    /** Length from which a body of unknown length is kept outside the heap, if there is memory for bodies. */
    private static final int MAX_HEAP_BYTES_UNANNOUNCED = 1024 * 1024;

    private static final BufferMemory NO_MEMORY = new BufferMemory(0, 0);

    private final BufferMemory.Reservation memory;
    private final BufferMemory.Reservation largeMemory;
    private final List<ByteBuf> pieces = new ArrayList<>();
    private final long announcedBytes;

    /** Length from which further pieces are kept outside the heap. */
    private final long maxHeapBytes;

    private int length;
    private long heldBytes;
    private boolean released;

    private RequestBody(BufferMemory memory, BufferMemory largeMemory, long announcedBytes) {
        this.memory = memory.open();
        this.largeMemory = largeMemory.open();
        this.announcedBytes = announcedBytes;
        if (largeMemory.maxBytes() == 0 || isLengthAnnounced() && memory.mayHold(announcedBytes)) {
            maxHeapBytes = Long.MAX_VALUE;
        } else {
            maxHeapBytes = isLengthAnnounced() ? 0 : MAX_HEAP_BYTES_UNANNOUNCED;
        }
    }

    /** Creates a body that stays empty. */
    static RequestBody empty() {
        return new RequestBody(NO_MEMORY, NO_MEMORY, 0);
    }

    /**
     * Starts to receive a body.
     *
     * @param memory memory of all bodies on the heap
     * @param largeMemory memory of all bodies outside the heap
     * @param announcedBytes length of the body, -1 if it was not announced
     */
    static RequestBody receive(BufferMemory memory, BufferMemory largeMemory, long announcedBytes) {
        return new RequestBody(memory, largeMemory, announcedBytes);
    }

    /** Reserves the memory of the whole body; returns false if it is not available now, and calls back when it is. */
    boolean reserveAnnounced(Consumer<RequestBody> granted) {
        return reservation(0).extend(announcedBytes, () -> granted.accept(this));
    }

    /** Reserves the memory that further bytes take; returns false if it is not available now, and calls back then. */
    boolean reserve(int receivedBytes, Consumer<RequestBody> granted) {
        int nextLength = pieces.isEmpty() ? length : length + lastPiece().writableBytes();
        boolean reserved = true;
        while (nextLength < length + receivedBytes) {
            int remainingBytes = length + receivedBytes - nextLength;
            int bytes = pieceBytes(nextLength, remainingBytes);
            reserved &= reservation(nextLength).extend(bytes, () -> granted.accept(this));
            nextLength += bytes;
        }
        return reserved;
    }

    private BufferMemory.Reservation reservation(int position) {
        return isLarge(position) ? largeMemory : memory;
    }

    private boolean isLarge(int position) {
        return position >= maxHeapBytes;
    }

    boolean isLengthAnnounced() {
        return announcedBytes >= 0;
    }

    int length() {
        return length;
    }

    /** Returns the memory of the bytes received so far. */
    long heldBytes() {
        return heldBytes;
    }

    /** Copies bytes, as the receive buffer that contains them may be much larger than what was received. */
    void append(ByteBuf received) {
        while (received.isReadable()) {
            if (pieces.isEmpty() || !lastPiece().isWritable()) {
                addPiece(pieceBytes(length, received.readableBytes()));
            }
            int copied = Math.min(received.readableBytes(), lastPiece().writableBytes());
            lastPiece().writeBytes(received, copied);
            length += copied;
        }
    }

    private void addPiece(int bytes) {
        pieces.add(isLarge(length) ? Unpooled.directBuffer(bytes, bytes) : Unpooled.buffer(bytes, bytes));
        heldBytes += bytes;
    }

    private ByteBuf lastPiece() {
        return pieces.get(pieces.size() - 1);
    }

    /** Returns the size of the next piece, which grows with the body: one that waits for memory takes little. */
    private int pieceBytes(int position, int receivedBytes) {
        int bytes =
                isLarge(position) ? LARGE_PIECE_BYTES : Math.min(MAX_PIECE_BYTES, Math.max(receivedBytes, position));
        return isLengthAnnounced() ? (int) Math.min(bytes, announcedBytes - position) : bytes;
    }

    /** Counts all bytes received as reserved, after the last of them. */
    void complete() {
        memory.takeAwaited();
        largeMemory.takeAwaited();
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
        pieces.forEach(ByteBuf::release);
        pieces.clear();
        heldBytes = 0;
        memory.release();
        largeMemory.release();
    }
}
