package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.router.http.PendingBytes;

/**
 * The connection of one caller: serves its requests and writes the responses in their order. Idempotent requests that
 * the caller sends ahead are served side by side; any other request is served alone.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter implements BodyReceiver.Connection {

    /** Number of unanswered requests at which reading from the connection pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    /** Requests of one connection that are served at the same time, so that one caller can't fill the targets. */
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    /** Longest time that a caller's next request takes from a new connection or the last response to its arrival. */
    private static final long REQUEST_IN_TRANSIT_MILLIS = 200;

    /** Longest time for which the rest of a refused request is read, which covers the upload of some megabytes. */
    private static final long MAX_DISCARD_MILLIS = 5_000;

    private final Worker worker;
    private final CallerServer server;
    private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
    private ChannelHandlerContext channelContext;
    private HttpRequest requestHead;
    private final BodyReceiver bodyReceiver;
    private boolean writing;

    /** Whether further bytes of the caller are ignored, because the connection is closed after the responses. */
    private boolean closing;

    /** Whether the caller may still be sending a request that was refused. */
    private boolean requestUnread;

    /** Time until which the rest of a refused request is read and dropped, -1 before its response is written. */
    private long discardUntilMillis = -1;

    private long lastActivityMillis;
    private int unwrittenBytes;

    /** Time at which the first bytes of an incomplete request arrived, -1 if there are none. */
    private long messageStartMillis = -1;

    CallerChannel(Worker worker, CallerServer server) {
        this.worker = worker;
        this.server = server;
        this.bodyReceiver = new BodyReceiver(worker, this);
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

    /**
     * Records the arrival of bytes before they are decoded, so that the header timeout covers incomplete headers. Empty
     * lines between requests belong to none (RFC 9112, section 2.2).
     */
    void onBytesReceived(ByteBuf bytes) {
        boolean receiving = messageStartMillis >= 0 || requestHead != null;
        if (closing || !receiving && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0) {
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
        if (RequestFraming.isAmbiguous(request)) {
            refuseAndClose(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        long announcedBytes = RequestFraming.announcedBodyBytes(request);
        if (announcedBytes > worker.limits().maxBodyBytes()) {
            refuseAndClose(ErrorKind.REQUEST_TOO_LARGE);
            return;
        }
        bodyReceiver.start(announcedBytes);
    }

    @Override
    public void bodyAllowed() {
        lastActivityMillis = nowMillis();
        if (HttpUtil.is100ContinueExpected(requestHead) && bodyReceiver.length() == 0 && exchanges.isEmpty()) {
            channelContext.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void readingChanged() {
        boolean paused = exchanges.size() >= MAX_PIPELINED_REQUESTS || bodyReceiver.isWaiting();
        channelContext.channel().config().setAutoRead(!paused);
    }

    @Override
    public void bodyRefused(String reason) {
        CallerRequest request =
                new CallerRequest(requestHead.method(), requestHead.uri(), requestHead.headers(), RequestBody.empty());
        String detail = reason + " received=" + bodyReceiver.length();
        endRequest();
        closing = true;
        requestUnread = true;
        CallerExchange exchange = new CallerExchange(this, request, true);
        exchanges.addLast(exchange);
        exchange.refuseUnread(ErrorKind.DAEMON_BYTES_LIMIT, RequestClassifier.NOT_READY_RETRY_AFTER_MILLIS, detail);
    }

    /** Forgets the request that was being received, and releases the memory of its body. */
    private void endRequest() {
        bodyReceiver.drop();
        requestHead = null;
        messageStartMillis = -1;
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseUndecodable(content.decoderResult().cause());
            return;
        }
        int receivedBytes = content.content().readableBytes();
        if (receivedBytes > 0) {
            if (bodyReceiver.length() + (long) receivedBytes > worker.limits().maxBodyBytes()) {
                refuseAndClose(ErrorKind.REQUEST_TOO_LARGE);
                return;
            }
            bodyReceiver.append(content.content());
        }
        if (content instanceof LastHttpContent) {
            CallerRequest request = new CallerRequest(
                    requestHead.method(), requestHead.uri(), requestHead.headers(), bodyReceiver.finish());
            boolean last = !HttpUtil.isKeepAlive(requestHead);
            requestHead = null;
            messageStartMillis = -1;
            enqueue(new CallerExchange(this, request, last));
        }
    }

    private void enqueue(CallerExchange exchange) {
        exchanges.addLast(exchange);
        closing |= exchange.isLastOnConnection();
        readingChanged();
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
            if (last && requestUnread && done.isSuccess()) {
                discardRequest();
            } else if (last || !done.isSuccess()) {
                channelContext.close();
            } else {
                readingChanged();
                startRequests();
                writeNextResponse();
            }
        });
    }

    /**
     * Reads and drops what the caller still sends of a refused request. Closing a connection with unread bytes resets
     * it, upon which the caller may lose the response.
     */
    private void discardRequest() {
        discardUntilMillis = nowMillis() + MAX_DISCARD_MILLIS;
        channelContext.channel().config().setAutoRead(true);
        if (channelContext.channel() instanceof DuplexChannel duplexChannel) {
            duplexChannel.shutdownOutput();
        }
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
        refuseAndClose(RequestFraming.kindOf(cause));
    }

    private void refuseAndClose(ErrorKind kind) {
        closing = true;
        boolean respondingToHead = requestHead != null && HttpMethod.HEAD.equals(requestHead.method());
        endRequest();
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
        // While reading pauses, the end of the connection is noticed only by an explicit read. A pause for lack of
        // memory is short, and the read would take some of it.
        boolean reading = channelContext.channel().config().isAutoRead() || bodyReceiver.isWaiting();
        if (!reading && !isCallerPresent()) {
            return;
        }
        long now = nowMillis();
        if (discardUntilMillis >= 0) {
            if (now > discardUntilMillis) {
                channelContext.close();
            }
            return;
        }
        CallerLimits limits = worker.limits();
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
        endRequest();
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
