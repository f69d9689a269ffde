package org.snipewind.router.path;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.http.ExchangeListener;
import org.snipewind.router.http.HttpConnection;
import org.snipewind.router.port.ResponseHeaders;

/** One sending of a request to one target; belongs to the worker's loop. */
final class Attempt implements ExchangeListener {

    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;

    private final RoutedRequest owner;
    private final RoutingContext context;
    private final TargetState target;
    private final long startedMillis;
    private HttpConnection connection;
    private boolean ended;

    Attempt(RoutedRequest owner, TargetState target) {
        this.owner = owner;
        this.context = owner.worker().context();
        this.target = target;
        this.startedMillis = context.clock().nowMillis();
    }

    TargetState target() {
        return target;
    }

    long elapsedMillis() {
        return context.clock().nowMillis() - startedMillis;
    }

    boolean isSent() {
        return connection != null;
    }

    void start() {
        target.onRequestSent();
        owner.worker()
                .connections()
                .acquire(target.registration(), !owner.isIdempotent(), this::use, this::notConnected);
    }

    private void use(HttpConnection opened) {
        if (ended || !owner.isWanted()) {
            owner.worker().connections().giveBack(target.registration(), opened);
            return;
        }
        connection = opened;
        opened.exchange(message(), this::belongs, this);
    }

    private void notConnected(Throwable cause) {
        if (!ended) {
            target.onNoResponse(context.clock().nowMillis(), true);
            end();
            owner.failed(this, ErrorKind.TARGET_UNREACHABLE, false, describe("connect: " + cause.getMessage()));
        }
    }

    private FullHttpRequest message() {
        CallerRequest request = owner.request();
        HttpHeaders headers = request.headers().copy();
        ConnectionHeaders.remove(headers);
        context.headerCodec()
                .rewriteForTarget(
                        headers,
                        target.registration().id(),
                        owner.organisationName(),
                        Math.max(1, owner.remainingMillis()));
        boolean hasBody = request.body().length > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /**
     * An answer without an id can be a refusal that was sent before the request was read. On a connection with earlier
     * exchanges it can also be a second refusal of one of those, which says nothing about this request.
     */
    private boolean belongs(int status, HttpHeaders headers) {
        ResponseHeaders answer = context.headerCodec().readResponse(status, headers);
        if (answer.requestId().isPresent()) {
            return answer.requestId().equals(owner.requestId());
        }
        boolean refusal = answer.notExecuted() || answer.misdirected();
        boolean attributable = connection.isFirstExchange() || owner.isIdempotent();
        if (!refusal || !attributable) {
            context.metrics().count("answers.skipped");
        }
        return refusal && attributable || owner.requestId().isEmpty();
    }

    @Override
    public void responseReceived(BufferedResponse answer) {
        if (ended) {
            return;
        }
        long now = context.clock().nowMillis();
        ResponseHeaders headers = context.headerCodec().readResponse(answer.status(), answer.headers());
        headers.load().ifPresent(load -> target.onLoadReport(load, now));
        headers.coldStartRemainingMillis().ifPresent(millis -> target.setColdStartRemaining(millis, now));
        double elapsed = elapsedMillis();
        end();
        owner.worker().connections().giveBack(target.registration(), connection);
        boolean success = answer.status() >= SUCCESS && answer.status() < REDIRECTION;
        if (headers.misdirected()) {
            owner.failed(this, ErrorKind.FENCED, true, describe("status=" + answer.status()));
        } else if (headers.notExecuted()) {
            target.onErrorResponse(now);
            owner.failed(this, ErrorKind.TARGET_SHED, true, describe("status=" + answer.status()));
        } else if (success && !headers.signed()) {
            target.onNoResponse(now, false);
            owner.failed(this, ErrorKind.ANSWER_INCOMPLETE, true, describe("answer without signature"));
        } else if (answer.status() >= SERVER_ERROR && owner.isIdempotent() && owner.mayRepeat()) {
            target.onErrorResponse(now);
            owner.failed(this, ErrorKind.TARGET_ERROR, true, describe("status=" + answer.status()));
        } else {
            target.onResponse(elapsed);
            owner.answered(this, answer);
        }
    }

    @Override
    public void exchangeFailed(ExchangeException cause) {
        if (ended) {
            return;
        }
        target.onNoResponse(context.clock().nowMillis(), false);
        end();
        ErrorKind kind = cause.isPossiblySent() ? ErrorKind.TARGET_LOST : ErrorKind.TARGET_UNREACHABLE;
        owner.failed(this, kind, cause.isPossiblySent(), describe(cause.getMessage()));
    }

    /** Ends the attempt and its connection, at which most targets drop the work. */
    void abort() {
        if (!ended) {
            end();
            if (connection != null) {
                connection.abort();
            }
        }
    }

    private void end() {
        ended = true;
        target.onRequestEnded();
    }

    private String describe(String outcome) {
        return "target=" + target.registration().incarnation() + " elapsed=" + elapsedMillis() + "ms " + outcome;
    }
}
