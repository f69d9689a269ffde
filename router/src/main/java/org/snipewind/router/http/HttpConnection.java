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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client connection with at most one exchange in progress; confined to its event loop.
 *
 * <p>A response is accepted only if it is complete and belongs to the request. After anything else the connection is
 * not reused, because later bytes on it can't be attributed to a request.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {

    /** Idle timeout that is assumed for servers that do not announce one. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 5_000;

    private static final AtomicLong LAST_NUMBER = new AtomicLong();

    private final long number = LAST_NUMBER.incrementAndGet();
    private final ResponseDecoder decoder;
    private final ConnectionOptions options;
    private Channel channel;
    private Optional<ExchangeListener> listener = Optional.empty();
    private ResponseMatcher matcher = ResponseMatcher.ANY;
    private Optional<HttpResponse> responseHead = Optional.empty();
    private ByteBuf responseBody = Unpooled.EMPTY_BUFFER;
    private Optional<BufferMemory.Reservation> reservation = Optional.empty();
    private boolean lengthKnown;
    private boolean skippingResponse;

    /** Whether a response to another request came during the exchange in progress. */
    private boolean skippedResponse;

    private boolean requestWritten;
    private boolean reusable = true;
    private int exchangeCount;

    /** Time at which the exchange in progress began, or at which the last one ended. */
    private long phaseStartMillis;

    private boolean closed;
    private long serverIdleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;

    HttpConnection(ResponseDecoder decoder, ConnectionOptions options) {
        this.decoder = decoder;
        this.options = options;
        decoder.setBytesFilter(this::acceptBytes);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Returns the number of the connection.
     *
     * @return a number that no other connection of this process has or had
     */
    public long number() {
        return number;
    }

    /**
     * Sends a request.
     *
     * @param request the request, released once it is written
     * @param responseMatcher distinguishes the response from responses to other requests
     * @param outcomeListener receives the outcome
     */
    public void exchange(FullHttpRequest request, ResponseMatcher responseMatcher, ExchangeListener outcomeListener) {
        if (closed || listener.isPresent()) {
            request.release();
            outcomeListener.exchangeFailed(new ExchangeException("connection is closed or in use", false));
            return;
        }
        exchangeCount++;
        phaseStartMillis = options.clock().nowMillis();
        listener = Optional.of(outcomeListener);
        matcher = responseMatcher;
        requestWritten = false;
        skippedResponse = false;
        decoder.expectResponseToHead(HttpMethod.HEAD.equals(request.method()));
        channel.writeAndFlush(request).addListener((ChannelFutureListener) this::onWriteCompleted);
    }

    /** Closes the connection immediately with a TCP reset, so that unsent and unread bytes are dropped. */
    public void abort() {
        listener = Optional.empty();
        closeWithReset();
    }

    /**
     * Returns whether the connection can be used for another request.
     *
     * @return false if an exchange is in progress, the connection is closed, or later bytes on it can't be attributed
     */
    public boolean isReusable() {
        return reusable && !closed && listener.isEmpty() && channel.isActive();
    }

    /** Reads what the server has sent since the last exchange; if it has sent anything, the connection is closed. */
    public void readPending() {
        PendingBytes.read(channel);
    }

    /**
     * Returns whether the response to the current request has begun to arrive.
     *
     * @return true from the end of the response's head to the end of its body
     */
    public boolean isReceivingResponse() {
        return responseHead.isPresent() && !skippingResponse;
    }

    /**
     * Returns whether the current exchange is the first one, so that no response to an earlier request can arrive.
     *
     * @return true for the first exchange
     */
    public boolean isFirstExchange() {
        return exchangeCount == 1;
    }

    /**
     * Returns the time after which the server closes the connection if it is idle.
     *
     * @return milliseconds
     */
    public long serverIdleTimeoutMillis() {
        return serverIdleTimeoutMillis;
    }

    private void onWriteCompleted(ChannelFuture done) {
        requestWritten = done.isSuccess();
        if (!done.isSuccess()) {
            fail("write failed: " + done.cause().getMessage(), true);
        }
    }

    /** Accepts bytes during an exchange. Any others belong to no request, also if they are no complete response. */
    private boolean acceptBytes(ByteBuf bytes) {
        if (listener.isEmpty() && !closed && bytes.isReadable()) {
            UnsolicitedKind kind = ResponseDecoder.classify(bytes, UnsolicitedKind.IDLE_CONNECTION);
            reportUnsolicited(kind, bytes.readableBytes());
            closeWithReset();
        }
        return !closed;
    }

    private void reportUnsolicited(UnsolicitedKind kind, int bytes) {
        int localPort = channel.localAddress() instanceof InetSocketAddress address ? address.getPort() : 0;
        long ageMillis = options.clock().nowMillis() - phaseStartMillis;
        options.onUnsolicited().accept(new UnsolicitedBytes(kind, localPort, exchangeCount, bytes, ageMillis));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            // After the end of an exchange the connection is closed, and what was received before is not needed.
            if (listener.isPresent() && message instanceof HttpResponse response) {
                startResponse(response);
            }
            // A decoded message can be both head and content.
            readContent(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startResponse(HttpResponse response) {
        if (decoder.hasMergedResponses()) {
            failMerged("response head contains the beginning of another response");
            return;
        }
        if (response.decoderResult().isFailure()) {
            failInvalid("response is not valid HTTP: "
                    + response.decoderResult().cause().getMessage());
            return;
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            // No request asks for it, and what follows it is not decoded.
            failInvalid("response switches to another protocol");
            return;
        }
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        ResponseOrigin origin = matcher.originOf(response.status().code(), response.headers());
        if (origin == ResponseOrigin.SEVERAL_REQUESTS) {
            failMerged("response head belongs to several requests");
            return;
        }
        skippingResponse = interim || origin != ResponseOrigin.THIS_REQUEST;
        boolean endsWithConnection = decoder.hasBody(response)
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
        if (skippingResponse && !interim) {
            reportUnsolicited(UnsolicitedKind.OTHER_RESPONSE, 0);
            reusable = false;
            skippedResponse = true;
            if (endsWithConnection) {
                failMerged("response to another request ends with the connection");
                return;
            }
        }
        responseHead = Optional.of(response);
        responseBody = Unpooled.EMPTY_BUFFER;
        if (skippingResponse || endsWithConnection) {
            decoder.scanBody();
        }
        if (!skippingResponse) {
            reserveMemory(response);
        }
    }

    /** Reserves the memory of the whole body if its length is known, and otherwise of each part as it arrives. */
    private void reserveMemory(HttpResponse response) {
        long length = decoder.hasBody(response) ? HttpUtil.getContentLength(response, -1L) : 0;
        lengthKnown = length >= 0;
        if (length > options.maxResponseBytes()) {
            fail("response body exceeds " + options.maxResponseBytes() + " bytes", true);
            return;
        }
        reservation = Optional.of(options.memory().open());
        if (length > 0) {
            responseBody = Unpooled.buffer((int) Math.min(length, BufferMemory.SMALL_BYTES));
            extendReservation(length);
        }
    }

    /** Reserves memory; if there is none, stops reading until it is available, so that the server has to wait. */
    private void extendReservation(long bytes) {
        BufferMemory.Reservation extended = reservation.orElseThrow();
        if (!extended.extend(bytes, () -> channel.eventLoop().execute(() -> resumeReading(extended)))) {
            channel.config().setAutoRead(false);
        }
    }

    private void resumeReading(BufferMemory.Reservation granted) {
        if (!closed && reservation.filter(current -> current == granted).isPresent()) {
            channel.config().setAutoRead(true);
        }
    }

    private void readContent(Object message) {
        if (!(message instanceof HttpContent content) || responseHead.isEmpty() || listener.isEmpty()) {
            return;
        }
        if (decoder.hasMergedResponses()) {
            failMerged("response body contains the beginning of another response");
            return;
        }
        if (content.decoderResult().isFailure()) {
            failInvalid("response body is malformed: "
                    + content.decoderResult().cause().getMessage());
            return;
        }
        if (!skippingResponse && content.content().isReadable()) {
            if (responseBody.readableBytes() + content.content().readableBytes() > options.maxResponseBytes()) {
                fail("response body exceeds " + options.maxResponseBytes() + " bytes", true);
                return;
            }
            if (responseBody == Unpooled.EMPTY_BUFFER) {
                responseBody = Unpooled.buffer(content.content().readableBytes());
            }
            if (!lengthKnown) {
                extendReservation(content.content().readableBytes());
            }
            responseBody.writeBytes(content.content());
        }
        if (message instanceof LastHttpContent) {
            completeResponse();
        }
    }

    private void completeResponse() {
        HttpResponse response = responseHead.orElseThrow();
        responseHead = Optional.empty();
        if (skippingResponse) {
            return;
        }
        if (decoder.undecodedBytes() > 0 && !decoder.isAtStatusLine() && isBodyContinued()) {
            failMerged("response body ends within another response");
            return;
        }
        // A server that responds before the request is written may still read the rest of its body.
        if (!requestWritten || !HttpUtil.isKeepAlive(response) || !channel.isActive()) {
            reusable = false;
        }
        serverIdleTimeoutMillis =
                KeepAliveHeader.timeoutMillis(response.headers()).orElse(serverIdleTimeoutMillis);
        if (decoder.undecodedBytes() > 0) {
            reportUnsolicited(decoder.classifyUndecoded(UnsolicitedKind.BEHIND_RESPONSE), decoder.undecodedBytes());
            reusable = false;
        }
        ExchangeListener currentListener = listener.orElseThrow();
        listener = Optional.empty();
        phaseStartMillis = options.clock().nowMillis();
        BufferMemory.Reservation received = reservation.orElseThrow();
        reservation = Optional.empty();
        received.takeAwaited();
        channel.config().setAutoRead(true);
        BufferedResponse bufferedResponse = new BufferedResponse(
                response.status().code(),
                response.status().reasonPhrase(),
                response.headers(),
                ByteBufUtil.getBytes(responseBody, 0, responseBody.readableBytes(), false),
                received);
        responseBody = Unpooled.EMPTY_BUFFER;
        if (!reusable) {
            closeWithReset();
        }
        currentListener.responseReceived(bufferedResponse);
    }

    /** Returns whether the body, with the bytes behind it, contains the status line of another response. */
    private boolean isBodyContinued() {
        StatusLineScanner bodyScanner = new StatusLineScanner();
        bodyScanner.scan(responseBody);
        bodyScanner.scan(decoder.undecodedStart());
        return bodyScanner.hasFound();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Fails before the channel becomes inactive, so that a response that is delimited by the end of the connection
        // does not appear complete.
        fail("connection failed: " + cause.getMessage(), true);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection was closed before the response was complete", true);
    }

    private void failMerged(String problem) {
        reportUnsolicited(UnsolicitedKind.MERGED_RESPONSES, decoder.undecodedBytes());
        fail(ExchangeException.unusableResponse(problem));
    }

    private void failInvalid(String problem) {
        // Behind a skipped response, it is the rest of the expected one, whose beginning the skipped one took in.
        UnsolicitedKind kind = skippedResponse ? UnsolicitedKind.MERGED_RESPONSES : UnsolicitedKind.INVALID_RESPONSE;
        reportUnsolicited(kind, decoder.undecodedBytes());
        fail(ExchangeException.unusableResponse(problem));
    }

    private void fail(String problem, boolean possiblySent) {
        fail(new ExchangeException(problem, possiblySent));
    }

    private void fail(ExchangeException cause) {
        Optional<ExchangeListener> failedListener = listener;
        listener = Optional.empty();
        responseHead = Optional.empty();
        closeWithReset();
        failedListener.ifPresent(notified -> notified.exchangeFailed(cause));
    }

    private void closeWithReset() {
        reusable = false;
        reservation.ifPresent(BufferMemory.Reservation::release);
        reservation = Optional.empty();
        if (!closed) {
            closed = true;
            if (channel.isActive()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
            options.onClosed().run();
        }
    }
}
