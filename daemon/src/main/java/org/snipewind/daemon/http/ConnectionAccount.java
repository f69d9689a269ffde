package org.snipewind.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.memory.ConnectionMemory;
import org.snipewind.router.memory.CountingHeaders;

/**
 * Accounts for the memory of a connection: the head or the trailers that are being received, the body of an incomplete
 * request, whole requests without a response, and responses that are not taken. Bodies are passed on when they are
 * complete, in one piece, since each small chunk would be kept as an object of its own, and requests that are sent
 * ahead wait here until earlier ones are answered. Used on the event loop of the connection, except for the calls of
 * the account.
 */
final class ConnectionAccount extends ChannelDuplexHandler {

    /** Memory of a request besides its fields and its body, most of it taken by the server. */
    private static final long REQUEST_BYTES = 2_000;

    /** Memory of a decoded part of a request besides its fields and its body. */
    private static final long MESSAGE_BYTES = 200;

    /** Number of requests without a response after which the next ones of the connection wait. */
    private static final int MAX_UNANSWERED_REQUESTS = 8;

    /** A body is held in the buffer of the connection and in the request at the same time. */
    private static final int BODY_COPIES = 2;

    /** Size of the first buffer of a body; it doubles when it is full. */
    private static final int INITIAL_BODY_BYTES = 256;

    private final CallerMemory memory;
    private final Channel channel;
    private final ConnectionMemory held;
    private final Deque<Long> unansweredBytes = new ArrayDeque<>();
    private final Deque<Object> waiting = new ArrayDeque<>();
    private Optional<CountingHeaders> fieldsBeingDecoded = Optional.empty();
    private Optional<ByteBuf> body = Optional.empty();
    private ChannelHandlerContext context;
    private long undecodedBytes;
    private long waitingBytes;
    private long incompleteBytes;
    private long wholeBytes;
    private boolean receivingBody;
    private boolean answeredEarly;
    private boolean closing;
    private volatile Optional<Long> idleSinceMillis;

    ConnectionAccount(CallerMemory memory, Channel channel) {
        this.memory = memory;
        this.channel = channel;
        this.idleSinceMillis = Optional.of(memory.clock().nowMillis());
        this.held = memory.account().open(() -> execute(this::closeUnfinished), () -> execute(this::closeWhole));
    }

    /** Returns the factory of the fields of heads and trailers, whose memory is counted while they are decoded. */
    HttpHeadersFactory headersFactory() {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                FramingHeaders headers = new FramingHeaders();
                fieldsBeingDecoded = Optional.of(headers);
                return headers;
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    /** Records bytes that the decoder is about to read. */
    void received(int bytes) {
        undecodedBytes += bytes;
    }

    /** Returns since when the connection has been idle, empty if it is not; may be called on any thread. */
    Optional<Long> idleSinceMillis() {
        return idleSinceMillis;
    }

    /**
     * Closes the connection to make room for another one; may be called on any thread.
     *
     * @param ifNotIdle called instead if a request has arrived meanwhile
     */
    void closeIfIdle(Runnable ifNotIdle) {
        execute(() -> {
            if (idleSinceMillis.isEmpty()) {
                ifNotIdle.run();
            } else if (!closing) {
                memory.metrics().count("entry.closed.connections");
                close();
            }
        });
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext reader, Object message) {
        undecodedBytes = 0;
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (waiting.isEmpty() && !mustWait(message)) {
            pass(reader, message);
        } else {
            waiting.add(message);
            waitingBytes += memoryOf(message);
        }
        update();
    }

    @Override
    public void read(ChannelHandlerContext reader) {
        if (waiting.isEmpty()) {
            reader.read();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext reader) {
        update();
        reader.fireChannelReadComplete();
        if (receivingBody && !closing) {
            // The next handler has got nothing of the body yet, so it may not ask for more.
            reader.read();
        }
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The promise reports the outcome to the writer.
    public void write(ChannelHandlerContext writer, Object message, ChannelPromise promise) {
        boolean interim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        ChannelPromise written = promise.unvoid();
        boolean lastResponse = closing && unansweredBytes.size() == 1 && !interim;
        if (lastResponse && message instanceof HttpResponse response) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (message instanceof LastHttpContent && !interim) {
            responseWritten();
            if (lastResponse) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }
        // Later, as the buffer of the channel counts the message until its listeners have been called.
        writer.write(message, written.addListener(ignored -> executeLater(this::update)));
        update();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        release();
        inactive.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        release();
    }

    private void responseWritten() {
        if (unansweredBytes.isEmpty()) {
            answeredEarly = receivingBody;
            return;
        }
        wholeBytes -= unansweredBytes.remove();
        if (!waiting.isEmpty()) {
            // Later, as the next handler is not prepared for requests while it writes.
            executeLater(this::passWaiting);
        }
    }

    private boolean mustWait(Object message) {
        return message instanceof HttpRequest && unansweredBytes.size() >= MAX_UNANSWERED_REQUESTS;
    }

    private static long memoryOf(Object message) {
        long bytes = MESSAGE_BYTES;
        if (message instanceof HttpRequest request) {
            bytes += request.uri().length()
                    + (request.headers() instanceof CountingHeaders fields ? fields.heldBytes() : 0);
        }
        return bytes
                + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
    }

    /** Passes on what has waited until requests before it were answered. */
    private void passWaiting() {
        while (!closing && !waiting.isEmpty() && !mustWait(waiting.peek())) {
            Object message = waiting.remove();
            waitingBytes -= memoryOf(message);
            pass(context, message);
        }
        update();
        if (!closing && waiting.isEmpty()) {
            context.fireChannelReadComplete();
            context.read();
        }
    }

    private void pass(ChannelHandlerContext reader, Object message) {
        if (message instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (message instanceof HttpContent content && receivingBody) {
            receiveContent(reader, content);
        } else {
            reader.fireChannelRead(message);
        }
    }

    private void beginRequest(HttpRequest request) {
        fieldsBeingDecoded = Optional.empty();
        answeredEarly = false;
        // A head that can't be decoded comes with the end of its message.
        receivingBody = !(request instanceof HttpContent);
        incompleteBytes = REQUEST_BYTES + request.uri().length();
        if (request.headers() instanceof CountingHeaders fields) {
            incompleteBytes += fields.heldBytes();
        }
    }

    private void receiveContent(ChannelHandlerContext reader, HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        append(content.content());
        if (!last && body.map(ByteBuf::readableBytes).orElse(0) <= memory.maxBodyBytes()) {
            content.release();
            return;
        }
        endRequest();
        ByteBuf collected = body.orElse(Unpooled.EMPTY_BUFFER);
        body = Optional.empty();
        // A body above the limit is passed on in parts, which the server refuses as too large.
        HttpContent whole = last
                ? new DefaultLastHttpContent(collected, ((LastHttpContent) content).trailingHeaders())
                : new DefaultHttpContent(collected);
        whole.setDecoderResult(content.decoderResult());
        content.release();
        reader.fireChannelRead(whole);
    }

    private void append(ByteBuf bytes) {
        if (bytes.isReadable()) {
            ByteBuf collected =
                    body.orElseGet(() -> Unpooled.buffer(Math.max(INITIAL_BODY_BYTES, bytes.readableBytes())));
            body = Optional.of(collected);
            collected.writeBytes(bytes);
        }
    }

    private int bodyBytes() {
        return body.map(ByteBuf::capacity).orElse(0);
    }

    private void endRequest() {
        receivingBody = false;
        fieldsBeingDecoded = Optional.empty();
        if (!answeredEarly) {
            long requestBytes = incompleteBytes + (long) BODY_COPIES * bodyBytes();
            wholeBytes += requestBytes;
            unansweredBytes.add(requestBytes);
        }
        incompleteBytes = 0;
    }

    private long unwrittenBytes() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes();
    }

    /** Returns the memory of what the client has sent of requests that are incomplete or wait for earlier ones. */
    private long unfinishedBytes() {
        long decodedBytes = fieldsBeingDecoded.map(CountingHeaders::heldBytes).orElse(0L);
        return undecodedBytes + decodedBytes + waitingBytes + incompleteBytes + bodyBytes();
    }

    private void update() {
        if (closing || context == null) {
            return;
        }
        long unwrittenBytes = unwrittenBytes();
        long unfinishedBytes = unfinishedBytes();
        boolean idle = unfinishedBytes + wholeBytes + unwrittenBytes == 0;
        if (idle != idleSinceMillis.isPresent()) {
            idleSinceMillis = idle ? Optional.of(memory.clock().nowMillis()) : Optional.empty();
        }
        held.update(unfinishedBytes + wholeBytes + unwrittenBytes, unfinishedBytes + unwrittenBytes > 0);
    }

    /**
     * Refuses the incomplete request, or drops what is unfinished behind requests in progress, which are answered
     * before the connection is closed. A connection whose responses are not taken is closed at once.
     */
    private void closeUnfinished() {
        if (closing) {
            return;
        }
        if (unfinishedBytes() + unwrittenBytes() == 0) {
            // The client has finished meanwhile, and a response now would belong to no request.
            held.closeDeferred();
            return;
        }
        memory.metrics().count("entry.closed.memory");
        if (unwrittenBytes() > 0) {
            close();
            return;
        }
        closing = true;
        dropUnfinished();
        if (unansweredBytes.isEmpty()) {
            memory.metrics().countRefusal(ErrorKind.DAEMON_BYTES_LIMIT);
            RawRefusal.sendAndClose(
                    channel, ErrorKind.DAEMON_BYTES_LIMIT, "the connections of clients take too much memory");
        }
    }

    private void closeWhole() {
        if (!closing) {
            memory.metrics().count("entry.closed.requests");
            close();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Nothing depends on the end of the close.
    private void close() {
        closing = true;
        channel.close();
    }

    private void execute(Runnable task) {
        if (channel.eventLoop().inEventLoop()) {
            task.run();
        } else {
            executeLater(task);
        }
    }

    private void executeLater(Runnable task) {
        if (!channel.eventLoop().isShuttingDown()) {
            channel.eventLoop().execute(task);
        }
    }

    private void dropUnfinished() {
        body.ifPresent(ByteBuf::release);
        body = Optional.empty();
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    private void release() {
        dropUnfinished();
        held.release();
    }
}
