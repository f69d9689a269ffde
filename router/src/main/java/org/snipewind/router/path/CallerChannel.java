package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.router.http.PendingBytes;

/**
 * The connection of one caller: serves its requests and writes the responses in their order. Idempotent requests that
 * the caller sends ahead are served side by side; any other request is served alone.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter {

    /** Number of unanswered requests at which reading from the connection pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    /** Requests of one connection that are served at the same time, so that one caller can't fill the targets. */
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    /** Longest time that a caller's next request takes from a new connection or the last response to its arrival. */
    private static final long REQUEST_IN_TRANSIT_MILLIS = 200;

    private final Worker worker;
    private final CallerServer server;
    private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
    private ChannelHandlerContext channelContext;
    private HttpRequest requestHead;
    private ByteBuf requestBody = Unpooled.EMPTY_BUFFER;
    private boolean writing;

    /** Whether further bytes of the caller are ignored, because the connection is closed after the responses. */
    private boolean closing;

    private long lastActivityMillis;
    private int unwrittenBytes;

    /** Time at which the first bytes of an incomplete request arrived, -1 if there are none. */
    private long messageStartMillis = -1;

    CallerChannel(Worker worker, CallerServer server) {
        this.worker = worker;
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channelContext = context;
        lastActivityMillis = nowMillis();
        worker.addChannel(this);
    }

    Worker worker() {
        return worker;
    }

    private long nowMillis() {
        return worker.context().clock().nowMillis();
    }

    private CallerLimits limits() {
        return worker.context()
                .tracker()
                .view()
                .configuration()
                .map(RoutingConfiguration::limits)
                .orElse(CallerLimits.DEFAULT);
    }

    /**
     * Records the arrival of bytes before they are decoded, so that the header timeout covers incomplete headers. Empty
     * lines between requests belong to none (RFC 9112, section 2.2).
     */
    void onBytesReceived(ByteBuf bytes) {
        boolean receiving = messageStartMillis >= 0 || requestHead != null;
        if (!receiving && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0) {
            return;
        }
        lastActivityMillis = nowMillis();
        if (messageStartMillis < 0) {
            messageStartMillis = lastActivityMillis;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request) {
                startRequest(request);
            }
            if (message instanceof HttpContent content && requestHead != null && !closing) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startRequest(HttpRequest request) {
        requestHead = request;
        if (request.decoderResult().isFailure()) {
            refuseUndecodable(request.decoderResult().cause());
            return;
        }
        HttpHeaders headers = request.headers();
        boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        // With two framings or an unknown transfer coding, the router and the target could disagree on where the
        // request ends, and a second request could be smuggled in.
        if (chunked && !"chunked".equalsIgnoreCase(headers.get(HttpHeaderNames.TRANSFER_ENCODING))
                || headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1
                || headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            refuseAndClose(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits().maxBodyBytes()) {
            refuseAndClose(ErrorKind.REQUEST_TOO_LARGE);
            return;
        }
        requestBody = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(request) && exchanges.isEmpty()) {
            channelContext.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseUndecodable(content.decoderResult().cause());
            return;
        }
        int receivedBytes = content.content().readableBytes();
        if (receivedBytes > 0) {
            if (requestBody.readableBytes() + (long) receivedBytes > limits().maxBodyBytes()) {
                refuseAndClose(ErrorKind.REQUEST_TOO_LARGE);
                return;
            }
            if (requestBody == Unpooled.EMPTY_BUFFER) {
                requestBody = Unpooled.buffer(receivedBytes);
            }
            requestBody.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            CallerRequest request = new CallerRequest(
                    requestHead.method(), requestHead.uri(), requestHead.headers(), ByteBufUtil.getBytes(requestBody));
            boolean last = !HttpUtil.isKeepAlive(requestHead);
            requestHead = null;
            requestBody = Unpooled.EMPTY_BUFFER;
            messageStartMillis = -1;
            enqueue(new CallerExchange(this, request, last));
        }
    }

    private void enqueue(CallerExchange exchange) {
        exchanges.addLast(exchange);
        closing |= exchange.isLastOnConnection();
        if (exchanges.size() >= MAX_PIPELINED_REQUESTS) {
            channelContext.channel().config().setAutoRead(false);
        }
        // The caller may have disconnected while the request waited in the socket buffer; this task runs only after the
        // end of the connection has been read.
        worker.loop().execute(this::startRequests);
    }

    /**
     * Starts the first request, and those behind it as long as all of them are idempotent. While the server drains, the
     * requests behind the first one are not started: the caller learns from the close that they were not read.
     */
    private void startRequests() {
        boolean first = true;
        List<CallerExchange> startable =
                exchanges.stream().limit(MAX_CONCURRENT_REQUESTS).toList();
        for (CallerExchange exchange : startable) {
            if (!channelContext.channel().isActive()) {
                return;
            }
            if (!exchange.isStarted()) {
                if (!first && (server.isDraining() || !exchange.isIdempotent())) {
                    return;
                }
                exchange.start();
            }
            if (exchanges.size() > 1 && !exchange.isIdempotent()) {
                return;
            }
            first = false;
        }
    }

    /** Writes the response to the first request if it is ready. */
    void writeNextResponse() {
        CallerExchange exchange = exchanges.peekFirst();
        if (writing || exchange == null || exchange.response().isEmpty()) {
            return;
        }
        CallerResponse response = exchange.response().get();
        boolean last = isLast(exchange);
        if (last) {
            response.announceClose();
            closing = true;
        }
        writing = true;
        unwrittenBytes = response.unwrittenBytes();
        server.responseWriteStarted();
        channelContext.writeAndFlush(response.message()).addListener(done -> {
            server.responseWriteEnded();
            response.releaseMemory();
            writing = false;
            lastActivityMillis = nowMillis();
            exchanges.remove(exchange);
            if (last || !done.isSuccess()) {
                channelContext.close();
            } else {
                channelContext.channel().config().setAutoRead(exchanges.size() < MAX_PIPELINED_REQUESTS);
                startRequests();
                writeNextResponse();
            }
        });
    }

    /** Returns whether the connection is closed after a response: no request behind it has been started or may be. */
    private boolean isLast(CallerExchange exchange) {
        boolean startedBehind = exchanges.stream().anyMatch(other -> other != exchange && other.isStarted());
        boolean closeRequested = closing && exchanges.size() == 1;
        return exchange.isLastOnConnection() || closeRequested || server.isDraining() && !startedBehind;
    }

    boolean isCallerPresent() {
        // Reads what has arrived so far; otherwise the loop would notice the end of the connection only after the
        // events of other connections.
        PendingBytes.read(channelContext.channel());
        return channelContext.channel().isActive();
    }

    private void refuseUndecodable(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        refuseAndClose(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST);
    }

    private void refuseAndClose(ErrorKind kind) {
        closing = true;
        boolean respondingToHead = requestHead != null && HttpMethod.HEAD.equals(requestHead.method());
        requestHead = null;
        messageStartMillis = -1;
        worker.context().metrics().countRefusal(kind);
        if (!exchanges.isEmpty()) {
            // The requests before it are answered first, and then the connection is closed.
            return;
        }
        CallerResponse response = CallerResponse.refusal(
                kind, Optional.empty(), 0, respondingToHead, worker.context().headerCodec());
        response.announceClose();
        channelContext.writeAndFlush(response.message()).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Refuses a request that has been incomplete for too long, and closes a connection that has been idle for too long
     * or whose caller does not take its response.
     */
    void checkTimeouts() {
        // While reading pauses, the end of the connection is noticed only by an explicit read.
        if (!channelContext.channel().config().isAutoRead() && !isCallerPresent()) {
            return;
        }
        long now = nowMillis();
        CallerLimits limits = limits();
        if (isWriteStalled(now, limits)) {
            worker.context().metrics().count("callers.stalled");
            channelContext.close();
        } else if (messageStartMillis >= 0 && requestHead == null && exchanges.isEmpty()) {
            if (now - messageStartMillis > limits.headerTimeoutMillis()) {
                refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
            }
        } else if (requestHead != null && now - lastActivityMillis > limits.headerTimeoutMillis()) {
            refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
        } else if (isIdle() && now - lastActivityMillis > limits.idleTimeoutMillis()) {
            channelContext.close();
        }
    }

    /** Returns whether the caller has not taken any part of the response for the idle timeout. */
    private boolean isWriteStalled(long now, CallerLimits limits) {
        if (!writing) {
            return false;
        }
        int unwritten = exchanges.getFirst().response().orElseThrow().unwrittenBytes();
        if (unwritten != unwrittenBytes) {
            unwrittenBytes = unwritten;
            lastActivityMillis = now;
        }
        return now - lastActivityMillis > limits.idleTimeoutMillis();
    }

    private boolean isIdle() {
        return exchanges.isEmpty() && requestHead == null && messageStartMillis < 0;
    }

    /** Closes the connection unless a request is being received or served, or may be on its way. */
    void closeIfIdle() {
        if (isIdle() && nowMillis() - lastActivityMillis >= REQUEST_IN_TRANSIT_MILLIS) {
            closing = true;
            channelContext.close();
        }
    }

    /** Answers the requests in progress, because the process is about to end. */
    void endRequests() {
        List.copyOf(exchanges).forEach(CallerExchange::endForShutdown);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        worker.removeChannel(this);
        server.channelClosed(this);
        exchanges.forEach(CallerExchange::cancel);
        exchanges.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        // The caller reset the connection. Closing the channel also cancels the request in progress.
        worker.context().metrics().count("callers.connection-failed");
        channelContext.close();
    }
}
