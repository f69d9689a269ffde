package org.snipewind.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;

/**
 * A client connection with at most one exchange in progress; belongs to its event loop.
 *
 * <p>An answer counts only if it is whole and belongs to the request. After anything else the connection is not used
 * again, because later bytes on it can't be attributed.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {

    /** Without a stated idle time, servers are assumed to close idle connections after this time. */
    private static final long DEFAULT_IDLE_MILLIS = 5_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final ResponseDecoder decoder;
    private final int maxAnswerBytes;
    private final Runnable onClosed;
    private Channel channel;
    private Optional<ExchangeListener> listener = Optional.empty();
    private ResponseMatcher filter = ResponseMatcher.ANY;
    private Optional<HttpResponse> head = Optional.empty();
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean skipping;
    private boolean written;
    private boolean reusable = true;
    private int exchanges;
    private boolean closed;
    private long idleMillis = DEFAULT_IDLE_MILLIS;

    HttpConnection(ResponseDecoder decoder, int maxAnswerBytes, Runnable onClosed) {
        this.decoder = decoder;
        this.maxAnswerBytes = maxAnswerBytes;
        this.onClosed = onClosed;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a request.
     *
     * @param request the request, released when it is written
     * @param answerFilter tells the answer from answers to other requests
     * @param outcome gets the outcome
     */
    public void exchange(FullHttpRequest request, ResponseMatcher answerFilter, ExchangeListener outcome) {
        if (closed || listener.isPresent()) {
            request.release();
            outcome.exchangeFailed(new ExchangeException("connection is closed or in use", false));
            return;
        }
        exchanges++;
        listener = Optional.of(outcome);
        filter = answerFilter;
        written = false;
        decoder.expectAnswerToHead(HttpMethod.HEAD.equals(request.method()));
        channel.writeAndFlush(request).addListener((ChannelFutureListener) this::wrote);
    }

    /** Ends the connection at once, with a reset, so that bytes on their way are dropped. */
    public void abort() {
        listener = Optional.empty();
        reset();
    }

    /**
     * Tells whether the connection can take another request.
     *
     * @return false once it is closed or its state is in doubt
     */
    public boolean isReusable() {
        return reusable && !closed && listener.isEmpty();
    }

    /**
     * Tells whether the exchange in progress is the first one, so that no earlier answer can be on its way.
     *
     * @return true for the first exchange
     */
    public boolean isFirstExchange() {
        return exchanges == 1;
    }

    /**
     * Gives the time after which the other side closes the connection if it is idle.
     *
     * @return milliseconds
     */
    public long idleMillis() {
        return idleMillis;
    }

    private void wrote(ChannelFuture done) {
        written = done.isSuccess();
        if (!done.isSuccess()) {
            fail("write failed: " + done.cause().getMessage(), true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener.isEmpty()) {
                // Bytes that no request asked for: an extra answer or one that came after its end.
                reset();
            } else if (message instanceof HttpResponse response) {
                begin(response);
                // A message can be head and content in one.
                readContent(message);
            } else {
                readContent(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("the answer is not HTTP: " + response.decoderResult().cause().getMessage(), true);
            return;
        }
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        skipping = interim || !filter.matches(response.status().code(), response.headers());
        if (skipping && !interim) {
            reusable = false;
        }
        head = Optional.of(response);
        body = Unpooled.EMPTY_BUFFER;
    }

    private void readContent(Object message) {
        if (!(message instanceof HttpContent content) || head.isEmpty() || listener.isEmpty()) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail("the answer is malformed: " + content.decoderResult().cause().getMessage(), true);
            return;
        }
        if (!skipping && content.content().isReadable()) {
            if (body.readableBytes() + content.content().readableBytes() > maxAnswerBytes) {
                fail("the answer exceeds " + maxAnswerBytes + " bytes", true);
                return;
            }
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(content.content().readableBytes());
            }
            body.writeBytes(content.content());
        }
        if (message instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        HttpResponse response = head.orElseThrow();
        head = Optional.empty();
        if (skipping) {
            return;
        }
        // A target that answers before the request is written may still read the rest of its body.
        if (!written || !HttpUtil.isKeepAlive(response) || !channel.isActive()) {
            reusable = false;
        }
        readIdleTime(response);
        ExchangeListener done = listener.orElseThrow();
        listener = Optional.empty();
        BufferedResponse answer = new BufferedResponse(
                response.status().code(),
                response.status().reasonPhrase(),
                response.headers(),
                ByteBufUtil.getBytes(body));
        body = Unpooled.EMPTY_BUFFER;
        if (!reusable) {
            reset();
        }
        done.responseReceived(answer);
    }

    private void readIdleTime(HttpResponse response) {
        String value = response.headers().get(HttpHeaderNames.KEEP_ALIVE, "");
        int start = value.indexOf("timeout=");
        if (start < 0) {
            return;
        }
        int from = start + "timeout=".length();
        int to = from;
        while (to < value.length() && Character.isDigit(value.charAt(to)) && to - from < 6) {
            to++;
        }
        if (to > from) {
            idleMillis = Integer.parseInt(value.substring(from, to)) * MILLIS_PER_SECOND;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Reported before the channel closes, so that an answer that ends with the connection does not look whole.
        fail("connection failed: " + cause.getMessage(), true);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection was closed", true);
    }

    private void fail(String problem, boolean sent) {
        Optional<ExchangeListener> waiting = listener;
        listener = Optional.empty();
        head = Optional.empty();
        reset();
        waiting.ifPresent(each -> each.exchangeFailed(new ExchangeException(problem, sent)));
    }

    private void reset() {
        reusable = false;
        if (!closed) {
            closed = true;
            if (channel.isActive()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
            onClosed.run();
        }
    }
}
