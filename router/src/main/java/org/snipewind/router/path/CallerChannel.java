package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.router.http.PendingBytes;
import org.snipewind.router.memory.ConnectionMemory;

/**
 * The connection of one caller: receives its requests, and writes the responses in their order.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter
        implements BodyReceiver.Connection, CallerRequestDecoder.Connection {

    /** Undecoded bytes from which no more are read to learn of the caller's disconnection. */
    private static final int MAX_UNDECODED_BYTES = 16 * 1024;

    private final Worker worker;
    private final CallerServer server;
    private final CallerExchanges exchanges;
    private ChannelHandlerContext channelContext;
    private HttpRequest requestHead;
    private final BodyReceiver bodyReceiver;
    private final CallerActivity activity;
    private final CallerRequestDecoder decoder;
    private final ConnectionMemory memory;
    private volatile boolean unused = true;
    private Optional<CallerResponse> writing = Optional.empty();

    /** Whether further bytes of the caller are ignored, because the connection is closed after the responses. */
    private boolean closing;

    /** Whether the caller may still be sending a request that was refused. */
    private boolean requestUnread;

    CallerChannel(Worker worker, CallerServer server) {
        this.worker = worker;
        this.server = server;
        this.exchanges = new CallerExchanges(() -> channelContext.channel().isActive(), server::isDraining);
        this.activity = new CallerActivity(worker.context().clock());
        this.decoder = new CallerRequestDecoder(worker.limits().maxHeaderBytes(), this);
        this.memory = worker.context()
                .clients()
                .memory()
                .open(
                        () -> worker.loop().execute(this::closeForMemory),
                        () -> worker.loop().execute(this::endRequestsForMemory));
        this.bodyReceiver = new BodyReceiver(worker, memory, this);
    }

    CallerRequestDecoder decoder() {
        return decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channelContext = context;
        worker.addChannel(this);
    }

    Worker worker() {
        return worker;
    }

    @Override
    public void bytesReceived(ByteBuf bytes) {
        activity.bytesReceived(bytes, requestHead != null);
    }

    @Override
    public boolean mayDecode() {
        return !exchanges.isFull();
    }

    @Override
    public boolean isOverloaded() {
        return worker.isOverloaded();
    }

    @Override
    public boolean isDropping() {
        return closing;
    }

    @Override
    public void decoded() {
        updateMemory();
        readingChanged();
    }

    @Override
    public void emptyLinesExceeded() {
        worker.context().metrics().count("clients.closed.empty-lines");
        closing = true;
        if (exchanges.isEmpty()) {
            channelContext.close();
        }
    }

    /** Tells the account what this connection takes; the account may close connections that take much. */
    private void updateMemory() {
        unused = exchanges.isEmpty() && !closing;
        memory.update(heldBytes(), writing.isPresent() || requestHead != null || activity.isReceivingMessage());
    }

    /** Returns the memory that this connection takes, without large bodies, which have budgets of their own. */
    long heldBytes() {
        long headBytes = requestHead == null ? 0 : CallerExchange.headBytes(requestHead.uri(), requestHead.headers());
        return decoder.heldBytes() + headBytes + bodyReceiver.smallBytes() + exchanges.heldBytes();
    }

    /** Refuses the request that is being received, or closes the connection if a response is left unread. */
    private void closeForMemory() {
        boolean receiving = requestHead != null || activity.isReceivingMessage();
        if (writing.isEmpty() && !receiving) {
            // The client has finished meanwhile, and a response now would belong to no request.
            memory.closeDeferred();
            return;
        }
        worker.context().metrics().count("clients.closed.memory");
        if (writing.isPresent()) {
            channelContext.close();
            return;
        }
        if (!exchanges.isEmpty()) {
            memory.closeDeferred();
        }
        if (requestHead != null) {
            bodyRefused("the connections of clients take too much memory");
        } else {
            refuseAndClose(ErrorKind.DAEMON_BYTES_LIMIT);
        }
    }

    /** Answers the requests in progress, of which those that were not sent never run, and closes the connection. */
    private void endRequestsForMemory() {
        if (exchanges.isEmpty()) {
            memory.closeDeferred();
            return;
        }
        worker.context().metrics().count("clients.closed.requests");
        closing = true;
        if (requestHead != null || activity.isReceivingMessage()) {
            endRequest();
        }
        exchanges.endAll(ErrorKind.DAEMON_BYTES_LIMIT);
    }

    /** Closes the connection to make room for another one, unless a request of it is being served. */
    void closeForConnections() {
        if (exchanges.isEmpty()) {
            worker.context().metrics().count("clients.closed.connections");
            closing = true;
            unused = false;
            // The end of the connection is reported only later, and it must not count until then.
            server.channelClosed(this);
            channelContext.close();
        }
    }

    /** Returns since when the connection has been idle, empty if it is not; may be called on any thread. */
    Optional<Long> idleSinceMillis() {
        return unused ? Optional.of(activity.lastActivityMillis()) : Optional.empty();
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
        Optional<ErrorKind> refusal = RequestFraming.refusalOf(request, worker.limits());
        if (refusal.isPresent()) {
            refuseAndClose(refusal.get());
        } else {
            bodyReceiver.start(RequestFraming.announcedBodyBytes(request));
        }
    }

    @Override
    public void bodyAllowed() {
        activity.progressed();
        if (HttpUtil.is100ContinueExpected(requestHead) && bodyReceiver.length() == 0 && exchanges.isEmpty()) {
            channelContext.writeAndFlush(CallerResponse.continuation());
        }
    }

    @Override
    public void readingChanged() {
        boolean paused = !mayDecode() || bodyReceiver.isWaiting() || decoder.hasBacklog();
        channelContext.channel().config().setAutoRead(!paused);
        if (mayDecode()) {
            decoder.resume();
        }
    }

    @Override
    public void bodyRefused(String reason) {
        CallerRequest request = receivedRequest(RequestBody.empty());
        String detail = reason + " received=" + bodyReceiver.length();
        endRequest();
        closing = true;
        requestUnread = true;
        CallerExchange exchange = new CallerExchange(this, request, true);
        exchanges.add(exchange);
        exchange.refuseUnread(ErrorKind.DAEMON_BYTES_LIMIT, RequestClassifier.NOT_READY_RETRY_AFTER_MILLIS, detail);
    }

    /** Forgets the request that was being received, whose connection will be closed, and releases its memory. */
    private void endRequest() {
        bodyReceiver.drop();
        decoder.abandon();
        requestHead = null;
        activity.messageEnded();
        updateMemory();
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseAndClose(RequestFraming.kindOf(content.decoderResult().cause()));
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
            CallerRequest request = receivedRequest(bodyReceiver.finish());
            boolean last = !HttpUtil.isKeepAlive(requestHead);
            requestHead = null;
            activity.messageEnded();
            enqueue(new CallerExchange(this, request, last));
        }
    }

    private CallerRequest receivedRequest(RequestBody body) {
        return new CallerRequest(requestHead.method(), requestHead.uri(), requestHead.headers(), body);
    }

    private void enqueue(CallerExchange exchange) {
        exchanges.add(exchange);
        closing |= exchange.isLastOnConnection();
        readingChanged();
        // The caller may have disconnected while the request waited in the socket buffer; this task runs only after the
        // end of the connection has been read.
        worker.loop().execute(exchanges::start);
    }

    /** Writes the response to the first request if it is ready. */
    void writeNextResponse() {
        updateMemory();
        Optional<CallerExchange> first = exchanges.first();
        if (writing.isPresent() || first.flatMap(CallerExchange::response).isEmpty()) {
            return;
        }
        CallerExchange exchange = first.get();
        CallerResponse response = exchange.response().get();
        boolean last = exchanges.isLast(exchange, closing);
        if (last) {
            response.announceClose();
            closing = true;
        }
        writing = Optional.of(response);
        activity.responseStarted(response.unwrittenBytes());
        updateMemory();
        server.responseWriteStarted();
        channelContext.writeAndFlush(response.message()).addListener(done -> {
            server.responseWriteEnded();
            response.releaseMemory();
            writing = Optional.empty();
            activity.progressed();
            exchanges.remove(exchange);
            updateMemory();
            if (last && requestUnread && done.isSuccess()) {
                discardRequest();
            } else if (last || !done.isSuccess()) {
                channelContext.close();
            } else {
                readingChanged();
                exchanges.start();
                writeNextResponse();
            }
        });
    }

    /**
     * Reads and drops what the caller still sends of a refused request. Closing a connection with unread bytes resets
     * it, upon which the caller may lose the response.
     */
    private void discardRequest() {
        activity.discardStarted();
        channelContext.channel().config().setAutoRead(true);
        if (channelContext.channel() instanceof DuplexChannel duplexChannel) {
            duplexChannel.shutdownOutput();
        }
    }

    boolean isCallerPresent() {
        // Reads what has arrived so far; otherwise the loop would notice the end of the connection only after the
        // events of other connections.
        if (decoder.undecodedBytes() < MAX_UNDECODED_BYTES) {
            PendingBytes.read(channelContext.channel());
        }
        return channelContext.channel().isActive();
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
        if (activity.isDiscarding()) {
            if (activity.isDiscardOver()) {
                channelContext.close();
            }
            return;
        }
        CallerLimits limits = worker.limits();
        if (isWriteStalled(limits)) {
            worker.context().metrics().count("callers.stalled");
            channelContext.close();
        } else if (activity.isReceivingMessage() && requestHead == null && exchanges.isEmpty()) {
            if (activity.isHeadLate(limits)) {
                refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
            }
        } else if (requestHead != null && activity.isBodyLate(limits)) {
            refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
        } else if (isIdle() && activity.isIdleTooLong(limits)) {
            channelContext.close();
        }
    }

    private boolean isWriteStalled(CallerLimits limits) {
        return writing.filter(response -> activity.isWriteStalled(response.unwrittenBytes(), limits))
                .isPresent();
    }

    private boolean isIdle() {
        return exchanges.isEmpty() && requestHead == null && !activity.isReceivingMessage();
    }

    /** Closes the connection unless a request is being received or served, or may be on its way. */
    void closeIfIdle() {
        if (isIdle() && activity.isQuiet()) {
            closing = true;
            channelContext.close();
        }
    }

    /** Answers the requests in progress, because the process is about to end. */
    void endRequests() {
        exchanges.endStarted(ErrorKind.SHUTTING_DOWN);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        endRequest();
        memory.release();
        worker.removeChannel(this);
        server.channelClosed(this);
        exchanges.cancel();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        // The caller reset the connection. Closing the channel also cancels the request in progress.
        worker.context().metrics().count("callers.connection-failed");
        channelContext.close();
    }
}
