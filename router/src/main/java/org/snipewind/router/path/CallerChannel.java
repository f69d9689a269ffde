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

/** The connection of one caller: reads one request at a time, in order, and writes its answer. */
final class CallerChannel extends ChannelInboundHandlerAdapter implements Responder {

    private static final int MAX_QUEUED = 8;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Worker worker;
    private final CallerServer server;
    private final Deque<CallerRequest> queued = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private Optional<RoutedRequest> current = Optional.empty();
    private boolean answering;
    private boolean headRequest;
    private boolean keepAlive = true;
    private boolean closing;
    private long lastActiveMillis;
    private long messageStartMillis = -1;

    CallerChannel(Worker worker, CallerServer server) {
        this.worker = worker;
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        lastActiveMillis = now();
        worker.watch(this);
    }

    Worker worker() {
        return worker;
    }

    private long now() {
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

    /** Notes bytes before they are decoded, for the limit on the time that headers may take. */
    void bytesArrived() {
        lastActiveMillis = now();
        if (messageStartMillis < 0) {
            messageStartMillis = lastActiveMillis;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head != null && !closing) {
                read(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            reject(request.decoderResult().cause());
            return;
        }
        HttpHeaders headers = request.headers();
        boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        // Both framings at once, or an unknown coding, could hide a second request from one of the readers.
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
        head = request;
        body = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void read(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(content.decoderResult().cause());
            return;
        }
        int more = content.content().readableBytes();
        if (more > 0) {
            if (body.readableBytes() + (long) more > limits().maxBodyBytes()) {
                refuseAndClose(ErrorKind.REQUEST_TOO_LARGE);
                return;
            }
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(more);
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            CallerRequest whole =
                    new CallerRequest(head.method(), head.uri(), head.headers(), ByteBufUtil.getBytes(body));
            boolean keep = HttpUtil.isKeepAlive(head);
            head = null;
            body = Unpooled.EMPTY_BUFFER;
            messageStartMillis = -1;
            accept(whole, keep);
        }
    }

    private void accept(CallerRequest request, boolean keep) {
        keepAlive &= keep;
        if (answering) {
            queued.addLast(request);
            if (queued.size() >= MAX_QUEUED) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        answering = true;
        // A caller may have left while the request lay in the socket; its end is read before this task runs.
        worker.loop().execute(() -> serve(request));
    }

    private void serve(CallerRequest request) {
        if (!context.channel().isActive()) {
            return;
        }
        answering = true;
        headRequest = HttpMethod.HEAD.equals(request.method());
        RoutedRequest routed = worker.serve(request, this);
        current = answering ? Optional.of(routed) : Optional.empty();
    }

    @Override
    public void deliver(BufferedResponse answer) {
        HttpHeaders headers = answer.headers().copy();
        ConnectionHeaders.remove(headers);
        worker.context().headerCodec().rewriteForCaller(headers);
        if (!headRequest) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                new HttpResponseStatus(answer.status(), answer.reason()),
                Unpooled.wrappedBuffer(answer.body()));
        response.headers().setAll(headers);
        write(response);
    }

    @Override
    public boolean isCallerPresent() {
        // Reads what has arrived now; the end of the connection may wait behind the work of many others.
        ((AbstractNioChannel.NioUnsafe) context.channel().unsafe()).read();
        return context.channel().isActive();
    }

    @Override
    public void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
        write(refusal(kind, requestId, retryAfterMillis));
    }

    private FullHttpResponse refusal(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
        byte[] text = headRequest ? new byte[0] : (kind.wireName() + "\n").getBytes(StandardCharsets.US_ASCII);
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
        current = Optional.empty();
        boolean last = !keepAlive || server.isDraining();
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
        server.answerStarted();
        context.writeAndFlush(response).addListener(done -> {
            server.answerEnded();
            answering = false;
            lastActiveMillis = now();
            if (last || !done.isSuccess()) {
                context.close();
            } else {
                next();
            }
        });
    }

    private void next() {
        CallerRequest request = queued.pollFirst();
        if (request != null) {
            context.channel().config().setAutoRead(true);
            serve(request);
        }
    }

    private void reject(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        refuseAndClose(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST);
    }

    private void refuseAndClose(ErrorKind kind) {
        closing = true;
        head = null;
        keepAlive = false;
        worker.context().metrics().countRefusal(kind);
        if (answering) {
            // The answer in progress comes first and closes the connection.
            return;
        }
        FullHttpResponse response = refusal(kind, Optional.empty(), 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Ends the connection if it is idle or its message incomplete for too long. */
    void checkTimes() {
        long now = now();
        CallerLimits limits = limits();
        if (messageStartMillis >= 0 && head == null && !answering) {
            if (now - messageStartMillis > limits.headerTimeoutMillis()) {
                refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
            }
        } else if (head != null && now - lastActiveMillis > limits.headerTimeoutMillis()) {
            refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
        } else if (isIdle() && now - lastActiveMillis > limits.idleTimeoutMillis()) {
            context.close();
        }
    }

    private boolean isIdle() {
        return !answering && head == null && messageStartMillis < 0;
    }

    /** Closes the connection if no request is on it. */
    void closeIfIdle() {
        if (isIdle()) {
            closing = true;
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        worker.unwatch(this);
        queued.clear();
        server.closed(this);
        current.ifPresent(RoutedRequest::cancel);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        // A reset by the caller; the channel's end cancels the request.
        worker.context().metrics().count("callers.connection-failed");
        context.close();
    }
}
