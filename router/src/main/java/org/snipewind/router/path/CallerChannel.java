package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.router.http.BufferedResponse;

/** The connection of one caller: serves its requests one at a time, in order, and writes the responses. */
final class CallerChannel extends ChannelInboundHandlerAdapter implements Responder {

    /** Number of queued requests at which reading from the connection pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Worker worker;
    private final CallerServer server;
    private final Deque<CallerRequest> pipelinedRequests = new ArrayDeque<>();
    private ChannelHandlerContext channelContext;
    private HttpRequest requestHead;
    private ByteBuf requestBody = Unpooled.EMPTY_BUFFER;
    private Optional<RoutedRequest> currentRequest = Optional.empty();
    private boolean requestInProgress;
    private boolean respondingToHead;
    private boolean keepAlive = true;
    private boolean closing;
    private long lastActivityMillis;

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

    /** Records the arrival of bytes before they are decoded, so that the header timeout covers incomplete headers. */
    void onBytesReceived() {
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
        requestHead = request;
        requestBody = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(request)) {
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
            boolean keepOpen = HttpUtil.isKeepAlive(requestHead);
            requestHead = null;
            requestBody = Unpooled.EMPTY_BUFFER;
            messageStartMillis = -1;
            serveOrEnqueue(request, keepOpen);
        }
    }

    private void serveOrEnqueue(CallerRequest request, boolean keepOpen) {
        keepAlive &= keepOpen;
        if (requestInProgress) {
            pipelinedRequests.addLast(request);
            if (pipelinedRequests.size() >= MAX_PIPELINED_REQUESTS) {
                channelContext.channel().config().setAutoRead(false);
            }
            return;
        }
        requestInProgress = true;
        // The caller may have disconnected while the request waited in the socket buffer; this task runs only after the
        // end of the connection has been read.
        worker.loop().execute(() -> serve(request));
    }

    private void serve(CallerRequest request) {
        if (!channelContext.channel().isActive()) {
            return;
        }
        requestInProgress = true;
        respondingToHead = HttpMethod.HEAD.equals(request.method());
        RoutedRequest routedRequest = worker.serve(request, this);
        currentRequest = requestInProgress ? Optional.of(routedRequest) : Optional.empty();
    }

    @Override
    public void respond(BufferedResponse targetResponse) {
        HttpHeaders headers = targetResponse.headers().copy();
        ConnectionHeaders.remove(headers);
        worker.context().headerCodec().rewriteForCaller(headers);
        if (!respondingToHead) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, targetResponse.body().length);
        }
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                new HttpResponseStatus(targetResponse.status(), targetResponse.reason()),
                Unpooled.wrappedBuffer(targetResponse.body()));
        response.headers().setAll(headers);
        write(response);
    }

    @Override
    public boolean isCallerPresent() {
        // Reads what has arrived so far; otherwise the loop would notice the end of the connection only after the
        // events of other connections.
        ((AbstractNioChannel.NioUnsafe) channelContext.channel().unsafe()).read();
        return channelContext.channel().isActive();
    }

    @Override
    public void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
        write(refusal(kind, requestId, retryAfterMillis));
    }

    private FullHttpResponse refusal(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
        byte[] text = respondingToHead ? new byte[0] : (kind.wireName() + "\n").getBytes(StandardCharsets.US_ASCII);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.status()), Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        requestId.ifPresent(id -> worker.context().headerCodec().addRequestId(response.headers(), id));
        if (retryAfterMillis > 0 && retryAfterMillis < Integer.MAX_VALUE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMillis / MILLIS_PER_SECOND);
        }
        return response;
    }

    private void write(FullHttpResponse response) {
        currentRequest = Optional.empty();
        boolean closeAfterwards = !keepAlive || server.isDraining();
        if (closeAfterwards) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
        server.responseWriteStarted();
        channelContext.writeAndFlush(response).addListener(done -> {
            server.responseWriteEnded();
            requestInProgress = false;
            lastActivityMillis = nowMillis();
            if (closeAfterwards || !done.isSuccess()) {
                channelContext.close();
            } else {
                serveNext();
            }
        });
    }

    private void serveNext() {
        CallerRequest request = pipelinedRequests.pollFirst();
        if (request != null) {
            channelContext.channel().config().setAutoRead(true);
            serve(request);
        }
    }

    private void refuseUndecodable(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        refuseAndClose(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST);
    }

    private void refuseAndClose(ErrorKind kind) {
        closing = true;
        requestHead = null;
        keepAlive = false;
        worker.context().metrics().countRefusal(kind);
        if (requestInProgress) {
            // The response in progress is written first, and then the connection is closed.
            return;
        }
        FullHttpResponse response = refusal(kind, Optional.empty(), 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channelContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Refuses a request that has been incomplete for too long, and closes a connection that has been idle for too long.
     */
    void checkTimeouts() {
        long now = nowMillis();
        CallerLimits limits = limits();
        if (messageStartMillis >= 0 && requestHead == null && !requestInProgress) {
            if (now - messageStartMillis > limits.headerTimeoutMillis()) {
                refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
            }
        } else if (requestHead != null && now - lastActivityMillis > limits.headerTimeoutMillis()) {
            refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
        } else if (isIdle() && now - lastActivityMillis > limits.idleTimeoutMillis()) {
            channelContext.close();
        }
    }

    private boolean isIdle() {
        return !requestInProgress && requestHead == null && messageStartMillis < 0;
    }

    /** Closes the connection unless a request is being received or served. */
    void closeIfIdle() {
        if (isIdle()) {
            closing = true;
            channelContext.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        worker.removeChannel(this);
        pipelinedRequests.clear();
        server.channelClosed(this);
        currentRequest.ifPresent(RoutedRequest::cancel);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        // The caller reset the connection. Closing the channel also cancels the request in progress.
        worker.context().metrics().count("callers.connection-failed");
        channelContext.close();
    }
}
