package org.snipewind.router.path;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.memory.CountingHeaders;

/**
 * One request on a caller's connection and its response, which is written after the responses to the requests before
 * it. Confined to the event loop of the connection.
 */
final class CallerExchange implements Responder {

    /** Memory of a request besides its head and body. */
    private static final int BASE_BYTES = 1_024;

    private final CallerChannel channel;
    private final CallerRequest request;
    private final boolean lastOnConnection;
    private Optional<RoutedRequest> routedRequest = Optional.empty();
    private Optional<CallerResponse> response = Optional.empty();
    private Optional<Boolean> idempotent = Optional.empty();
    private boolean started;

    CallerExchange(CallerChannel channel, CallerRequest request, boolean lastOnConnection) {
        this.channel = channel;
        this.request = request;
        this.lastOnConnection = lastOnConnection;
    }

    /** Returns whether the caller will send no more requests on the connection. */
    boolean isLastOnConnection() {
        return lastOnConnection;
    }

    boolean isStarted() {
        return started;
    }

    /** Returns whether the request may run beside those before it, and those behind it beside it. */
    boolean isIdempotent() {
        if (idempotent.isEmpty()) {
            idempotent = Optional.of(channel.worker().isIdempotent(request));
        }
        return idempotent.get();
    }

    /** Returns the memory of the request and of its response as far as budgets for large bodies don't count it. */
    long heldBytes() {
        return headBytes(request.uri(), request.headers())
                + Math.min(request.body().heldBytes(), ClientResources.SMALL_REQUEST_BYTES)
                + response.map(ready -> Math.min(ready.unwrittenBytes(), BufferMemory.SMALL_BYTES))
                        .orElse(0);
    }

    /** Returns the memory of a request's head. */
    static long headBytes(String uri, HttpHeaders headers) {
        return BASE_BYTES + uri.length() + (headers instanceof CountingHeaders counted ? counted.heldBytes() : 0);
    }

    Optional<CallerResponse> response() {
        return response;
    }

    void start() {
        started = true;
        routedRequest = Optional.of(channel.worker().serve(request, this));
    }

    /**
     * Refuses a request whose body is not received, or that was not started, so that it never runs.
     *
     * @param kind why the request is refused
     * @param retryAfterMillis time after which it may be sent again
     * @param detail details for the log
     */
    void refuseUnread(ErrorKind kind, long retryAfterMillis, String detail) {
        started = true;
        RoutingContext context = channel.worker().context();
        Optional<String> requestId =
                context.headerCodec().readRequest(request.headers()).requestId();
        context.metrics().countRefusal(kind);
        context.log()
                .write(
                        RouterEvent.REQUEST_REFUSED,
                        () -> "request=" + requestId.orElse("none") + " path=" + request.path() + " kind="
                                + kind.wireName() + " status=" + kind.status() + " announced="
                                + request.headers().get(HttpHeaderNames.CONTENT_LENGTH, "none") + " " + detail);
        refuse(kind, requestId, retryAfterMillis);
    }

    /** Answers the request before it is served, if it was started. */
    void endIfStarted(ErrorKind kindIfNotSent) {
        routedRequest.ifPresent(request -> request.end(kindIfNotSent));
    }

    /** Answers the request before it is served; if it was not started, it never is. */
    void end(ErrorKind kindIfNotSent) {
        if (started) {
            endIfStarted(kindIfNotSent);
        } else {
            request.body().release();
            refuseUnread(kindIfNotSent, RequestClassifier.NOT_READY_RETRY_AFTER_MILLIS, "not started");
        }
    }

    /** Cancels the request, or drops its response, because the caller has disconnected. */
    void cancel() {
        response.ifPresent(CallerResponse::releaseMemory);
        request.body().release();
        if (response.isEmpty()) {
            routedRequest.ifPresent(RoutedRequest::cancel);
        }
    }

    @Override
    public void respond(BufferedResponse targetResponse) {
        respond(CallerResponse.forwarded(
                targetResponse, isHead(), channel.worker().context().headerCodec()));
    }

    @Override
    public void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
        respond(CallerResponse.refusal(
                kind,
                requestId,
                retryAfterMillis,
                isHead(),
                channel.worker().context().headerCodec()));
    }

    private void respond(CallerResponse ready) {
        response = Optional.of(ready);
        channel.writeNextResponse();
    }

    private boolean isHead() {
        return HttpMethod.HEAD.equals(request.method());
    }

    @Override
    public boolean isCallerPresent() {
        return channel.isCallerPresent();
    }
}
