package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.port.HeaderCodec;

/** A response to a caller that is ready to be written, with the memory that its body takes until then. */
final class CallerResponse {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final FullHttpResponse message;
    private final Optional<BufferMemory.Reservation> memory;

    private CallerResponse(FullHttpResponse message, Optional<BufferMemory.Reservation> memory) {
        this.message = message;
        this.memory = memory;
    }

    /** Creates the response that forwards that of a target. */
    static CallerResponse forwarded(BufferedResponse targetResponse, boolean respondingToHead, HeaderCodec codec) {
        HttpHeaders headers = targetResponse.headers().copy();
        ConnectionHeaders.remove(headers);
        codec.rewriteForCaller(headers);
        // In both cases the length is that of the body that a full response would have had.
        if (!respondingToHead && targetResponse.status() != HttpResponseStatus.NOT_MODIFIED.code()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, targetResponse.body().length);
        }
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                new HttpResponseStatus(targetResponse.status(), targetResponse.reason()),
                Unpooled.wrappedBuffer(targetResponse.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        return new CallerResponse(message, Optional.of(targetResponse.memory()));
    }

    /** Creates a refusal by the router itself. */
    static CallerResponse refusal(
            ErrorKind kind,
            Optional<String> requestId,
            long retryAfterMillis,
            boolean respondingToHead,
            HeaderCodec codec) {
        byte[] text = respondingToHead ? new byte[0] : (kind.wireName() + "\n").getBytes(StandardCharsets.US_ASCII);
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.status()), Unpooled.wrappedBuffer(text));
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        requestId.ifPresent(id -> codec.addRequestId(message.headers(), id));
        if (retryAfterMillis > 0 && retryAfterMillis < Integer.MAX_VALUE) {
            message.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMillis / MILLIS_PER_SECOND);
        }
        return new CallerResponse(message, Optional.empty());
    }

    /** Creates the interim response that asks a caller to send the body. */
    static FullHttpResponse continuation() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** Announces that the connection is closed after this response. */
    void announceClose() {
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    FullHttpResponse message() {
        return message;
    }

    /** Returns the bytes of the body that the caller has not taken yet. */
    int unwrittenBytes() {
        ByteBuf body = message.content();
        return body.readableBytes();
    }

    void releaseMemory() {
        memory.ifPresent(BufferMemory.Reservation::release);
    }
}
