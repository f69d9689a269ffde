package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.snipewind.router.memory.CountingHeaders;

/**
 * Decodes the requests of a caller, not more of them than are wanted and not too much in one turn of the event loop;
 * other bytes stay undecoded and reading pauses. Messages with two framings are rejected, whereas the base class drops
 * one of the two.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    /**
     * Steps of the decoder for one connection before others have their turn. A step decodes a head, a chunk header or
     * up to 8 KiB of a body, so that only bodies in tiny chunks take more of them for the bytes of one turn.
     */
    static final int MAX_STEPS_PER_TURN = 256;

    /** Empty lines before a request, in bytes; a client that follows RFC 9112 sends one at most. */
    static final int MAX_EMPTY_LINE_BYTES = 1_024;

    private static final long TURN_INTERVAL_MILLIS = 1;

    /** Longest delay of a turn for requests that were sent ahead. */
    private static final long MAX_TURN_DELAY_MILLIS = 1_000;

    /** The connection that the requests arrive on. */
    interface Connection {

        /** Returns whether further requests are wanted now. */
        boolean mayDecode();

        /** Returns whether the event loop lacks processor time. */
        boolean isOverloaded();

        /** Returns whether all further bytes are to be dropped. */
        boolean isDropping();

        /** Bytes have arrived; called before they are decoded. */
        void bytesReceived(ByteBuf bytes);

        /** Bytes were decoded, or not all could be. */
        void decoded();

        /** The caller sends empty lines without end. */
        void emptyLinesExceeded();
    }

    private final Connection connection;
    private final ReceivedHeaders received;
    private Optional<ChannelHandlerContext> context = Optional.empty();
    private boolean receivingBody;
    private int emptyLineBytes;
    private int steps;
    private boolean turnScheduled;

    /** Delay of the next turn for requests that were sent ahead. */
    private long turnDelayMillis = TURN_INTERVAL_MILLIS;

    /** Whether bytes were left undecoded because no further requests were wanted. */
    private boolean blocked;

    CallerRequestDecoder(int maxHeaderBytes, Connection connection) {
        this(maxHeaderBytes, connection, new ReceivedHeaders());
    }

    private CallerRequestDecoder(int maxHeaderBytes, Connection connection, ReceivedHeaders received) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setAllowDuplicateContentLengths(false)
                .setHeadersFactory(received)
                .setTrailersFactory(received));
        this.connection = connection;
        this.received = received;
    }

    /** Keeps the headers, or the trailers, that are being received. */
    private static final class ReceivedHeaders implements HttpHeadersFactory {

        private Optional<CountingHeaders> current = Optional.empty();

        @Override
        public HttpHeaders newHeaders() {
            CountingHeaders headers = new CountingHeaders();
            current = Optional.of(headers);
            return headers;
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are set");
    }

    /** Returns the memory of the buffer with the undecoded bytes. */
    int undecodedBytes() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    /** Returns the memory of undecoded bytes and of the head, or the trailers, that are being received. */
    long heldBytes() {
        return undecodedBytes()
                + received.current.map(CountingHeaders::heldBytes).orElse(0L);
    }

    /** Returns whether received bytes wait for a later turn, so that no more are to be read. */
    boolean hasBacklog() {
        return turnScheduled;
    }

    /** Gives up the head, or the trailers, that are being received; the connection drops all further bytes. */
    void abandon() {
        received.current = Optional.empty();
        reset();
        context.ifPresent(abandoned -> {
            try {
                // The base class carries out the reset only when it decodes.
                super.decode(abandoned, Unpooled.EMPTY_BUFFER, new ArrayList<>());
            } catch (Exception e) {
                abandoned.fireExceptionCaught(e);
            }
        });
    }

    /**
     * Decodes in a later turn what was left undecoded as no requests were wanted. While the event loop is overloaded,
     * each turn comes later than the one before: requests are refused at once then, and callers that send ahead would
     * keep the loop busy with refusals.
     */
    void resume() {
        if (blocked) {
            blocked = false;
            turnDelayMillis = connection.isOverloaded()
                    ? Math.min(MAX_TURN_DELAY_MILLIS, turnDelayMillis * 2)
                    : Math.max(TURN_INTERVAL_MILLIS, turnDelayMillis / 2);
            context.ifPresent(resumed -> scheduleNextTurn(resumed, turnDelayMillis));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext readingContext, Object message) throws Exception {
        context = Optional.of(readingContext);
        if (!(message instanceof ByteBuf bytes)) {
            super.channelRead(readingContext, message);
            return;
        }
        if (connection.isDropping()) {
            bytes.release();
            return;
        }
        connection.bytesReceived(bytes);
        super.channelRead(readingContext, compact(readingContext, bytes));
        connection.decoded();
    }

    /** Copies bytes that take little of their receive buffer, as a part of them may be kept for long. */
    private static ByteBuf compact(ChannelHandlerContext context, ByteBuf bytes) {
        if (bytes.readableBytes() * 2 > bytes.capacity()) {
            return bytes;
        }
        ByteBuf copy = context.alloc().heapBuffer(bytes.readableBytes());
        copy.writeBytes(bytes);
        bytes.release();
        return copy;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext readingContext) {
        // The base class would read on while reading pauses.
        discardSomeReadBytes();
        if (!turnScheduled) {
            steps = 0;
        }
        readingContext.fireChannelReadComplete();
    }

    @Override
    protected void decode(ChannelHandlerContext decodingContext, ByteBuf buffer, List<Object> out) throws Exception {
        if (connection.isDropping()) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (!connection.mayDecode()) {
            blocked = true;
            return;
        }
        if (steps >= MAX_STEPS_PER_TURN) {
            scheduleNextTurn(decodingContext, TURN_INTERVAL_MILLIS);
            return;
        }
        steps++;
        int readableBytes = buffer.readableBytes();
        super.decode(decodingContext, buffer, out);
        if (!out.isEmpty()) {
            readMessages(out);
        } else if (received.current.isEmpty() && !receivingBody) {
            countEmptyLines(readableBytes - buffer.readableBytes());
        }
    }

    private void readMessages(List<Object> out) {
        emptyLineBytes = 0;
        received.current = Optional.empty();
        receivingBody = !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    private void countEmptyLines(int bytes) {
        emptyLineBytes += bytes;
        if (emptyLineBytes > MAX_EMPTY_LINE_BYTES) {
            connection.emptyLinesExceeded();
        }
    }

    private void scheduleNextTurn(ChannelHandlerContext decodingContext, long delayMillis) {
        if (!turnScheduled) {
            turnScheduled = true;
            // A task that is executed at once would run before the loop reads from other connections.
            decodingContext.executor().schedule(this::nextTurn, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void nextTurn() {
        turnScheduled = false;
        steps = 0;
        ChannelHandlerContext readingContext = context.orElseThrow();
        if (readingContext.isRemoved() || !readingContext.channel().isActive()) {
            return;
        }
        try {
            super.channelRead(readingContext, Unpooled.EMPTY_BUFFER);
            discardSomeReadBytes();
        } catch (Exception e) {
            readingContext.fireExceptionCaught(e);
        }
        connection.decoded();
    }
}
