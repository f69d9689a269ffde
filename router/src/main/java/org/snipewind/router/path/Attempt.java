package org.snipewind.router.path;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.target.TargetNotices;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.http.ExchangeListener;
import org.snipewind.router.http.HttpConnection;
import org.snipewind.router.http.ResponseOrigin;
import org.snipewind.router.port.ResponseHeaders;

/** One attempt to have a target serve a request; confined to the worker's event loop. */
final class Attempt implements ExchangeListener {

    private static final int SERVER_ERROR_STATUS = 500;
    private static final int SUCCESS_STATUS = 200;
    private static final int REDIRECTION_STATUS = 300;

    private final RoutedRequest routedRequest;
    private final RoutingContext context;
    private final TargetState target;
    private final Route route;
    private final long startedMillis;
    private HttpConnection connection;
    private boolean ended;

    Attempt(RoutedRequest routedRequest, TargetState target, Route route) {
        this.routedRequest = routedRequest;
        this.context = routedRequest.worker().context();
        this.target = target;
        this.route = route;
        this.startedMillis = context.clock().nowMillis();
    }

    TargetState target() {
        return target;
    }

    long elapsedMillis() {
        return context.clock().nowMillis() - startedMillis;
    }

    /** Returns whether a connection was obtained, so that bytes of the request may have reached the target. */
    boolean isSent() {
        return connection != null;
    }

    /** Returns whether a second attempt may help: the response has not begun, and its time need not be known. */
    boolean mayBeHedged() {
        boolean receiving = connection != null && connection.isReceivingResponse();
        return !receiving && !context.sharedState().versions().isOnTrial(target);
    }

    void start() {
        target.onRequestSent(startedMillis);
        routedRequest
                .worker()
                .connections()
                .acquire(
                        target.registration(),
                        routedRequest.connectionLimit(),
                        !routedRequest.isIdempotent(),
                        open -> routedRequest
                                .usedConnections()
                                .mayReuse(open, routedRequest.requestId().isPresent()),
                        this::sendOn,
                        this::connectFailed);
    }

    private void sendOn(HttpConnection opened) {
        if (ended || !routedRequest.checkCallerPresent()) {
            routedRequest.worker().connections().release(target.registration(), opened);
            return;
        }
        Optional<ErrorKind> refusal = findRefusal();
        if (refusal.isPresent()) {
            routedRequest.worker().connections().release(target.registration(), opened);
            markEnded();
            routedRequest.attemptFailed(
                    this, refusal.get(), false, describe("the target left or paused before the request"));
            return;
        }
        connection = opened;
        routedRequest.usedConnections().add(opened);
        opened.exchange(buildTargetRequest(), this::originOf, this);
    }

    /** Returns why the target takes no requests since the connection was asked for, empty if it does. */
    private Optional<ErrorKind> findRefusal() {
        String incarnation = target.incarnation();
        TargetNotices notices = context.tracker().notices();
        if (notices.isLeaving(incarnation)
                || context.tracker().view().findInService(incarnation).isEmpty()
                || !context.sharedState().versions().mayUse(target)) {
            return Optional.of(ErrorKind.TARGET_UNREACHABLE);
        }
        return notices.pauseRemainingMillis(incarnation) > 0 ? Optional.of(ErrorKind.TARGET_PAUSED) : Optional.empty();
    }

    private void connectFailed(Throwable cause) {
        if (!ended) {
            target.onNoResponse(context.clock().nowMillis(), true);
            markEnded();
            routedRequest.attemptFailed(
                    this, ErrorKind.TARGET_UNREACHABLE, false, describe("connection failed: " + cause.getMessage()));
        }
    }

    private FullHttpRequest buildTargetRequest() {
        CallerRequest request = routedRequest.request();
        HttpHeaders headers = request.headers().copy();
        ConnectionHeaders.remove(headers);
        context.headerCodec()
                .rewriteForTarget(
                        headers,
                        target.registration().id(),
                        routedRequest.organisationName(),
                        Math.max(1, routedRequest.remainingMillis()));
        boolean hasBody = request.body().length() > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.body().content(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /**
     * Returns to which request a response belongs. A response without a request id can be a rejection that the
     * target sent before it read the request. On a connection with earlier exchanges it can also be a second rejection
     * of one of those, which says nothing about this request; it then ends the attempt only if the request is
     * idempotent, and not as one that did not run.
     */
    private ResponseOrigin originOf(int status, HttpHeaders headers) {
        ResponseHeaders response = context.headerCodec().readResponse(status, headers);
        if (response.namesSeveralRequests()) {
            return ResponseOrigin.SEVERAL_REQUESTS;
        }
        if (response.requestId().isPresent()) {
            boolean named = response.requestId().equals(routedRequest.requestId());
            return named ? ResponseOrigin.THIS_REQUEST : ResponseOrigin.OTHER_REQUEST;
        }
        boolean rejection = response.notExecuted() || response.misdirected();
        boolean attributable = connection.isFirstExchange() || routedRequest.isIdempotent();
        if (!rejection || !attributable) {
            context.metrics().count("answers.skipped");
        }
        // Without an id, the request has a connection of its own.
        boolean accepted =
                rejection && attributable || routedRequest.requestId().isEmpty();
        return accepted ? ResponseOrigin.THIS_REQUEST : ResponseOrigin.UNKNOWN;
    }

    @Override
    public void responseReceived(BufferedResponse response) {
        if (ended) {
            response.memory().release();
            return;
        }
        long now = context.clock().nowMillis();
        ResponseHeaders headers = context.headerCodec().readResponse(response.status(), response.headers());
        headers.load().ifPresent(load -> {
            target.onLoadReport(load, now);
            context.sharedState().recordReport(target.registration().pool(), load);
        });
        headers.coldStartRemainingMillis().ifPresent(millis -> target.setColdStartRemaining(millis, now));
        double elapsed = elapsedMillis();
        markEnded();
        if (isUnattributable(headers)) {
            connection.abort();
            fail(ErrorKind.TARGET_LOST, response, "rejection without an id on a used connection");
            return;
        }
        if (hasUnknownTransferCoding(response.headers())) {
            connection.abort();
            target.onNoResponse(now, false);
            recordFailure();
            fail(ErrorKind.ANSWER_INCOMPLETE, response, "response with an unknown transfer coding");
            return;
        }
        recordNotices(headers);
        routedRequest.worker().connections().release(target.registration(), connection);
        boolean success = response.status() >= SUCCESS_STATUS && response.status() < REDIRECTION_STATUS;
        if (headers.misdirected()) {
            fail(ErrorKind.FENCED, response, "status=" + response.status());
        } else if (headers.notExecuted()) {
            // A pause is no failure, and the target is not avoided beyond it.
            if (headers.pauseMillis().isEmpty()) {
                target.onErrorResponse(now);
                context.sharedState().recordRejection(target.registration().pool());
            }
            fail(ErrorKind.TARGET_SHED, response, "status=" + response.status());
        } else if (success && !isForwardedWithSignature(response, headers)) {
            target.onNoResponse(now, false);
            recordFailure();
            fail(ErrorKind.ANSWER_INCOMPLETE, response, "response without the target's signature");
        } else if (response.status() >= SERVER_ERROR_STATUS
                && routedRequest.isIdempotent()
                && routedRequest.mayRetry()) {
            target.onErrorResponse(now);
            recordFailure();
            routedRequest.attemptReturnedError(this, response, describe("status=" + response.status()));
        } else {
            double occupiedMillis = target.onResponse(elapsed, now);
            if (response.status() >= SERVER_ERROR_STATUS) {
                recordFailure();
            } else {
                context.sharedState().versions().evidence().recordResponse(target, route.name(), occupiedMillis);
            }
            routedRequest.attemptSucceeded(this, response, occupiedMillis);
        }
    }

    /** Records what the target says about further requests. An answer of another process says nothing about it. */
    private void recordNotices(ResponseHeaders headers) {
        String incarnation = target.incarnation();
        if (headers.misdirected()) {
            return;
        }
        if (headers.leaving()) {
            context.tracker().recordLeaving(incarnation);
        }
        if (headers.pauseMillis().isPresent()) {
            context.metrics().count("targets.pauses");
            context.tracker()
                    .notices()
                    .recordPause(incarnation, headers.pauseMillis().getAsLong());
        }
        if (headers.pauseUnreadable()) {
            context.metrics().count("targets.pauses-unreadable");
        }
    }

    private boolean isUnattributable(ResponseHeaders headers) {
        return headers.requestId().isEmpty() && routedRequest.requestId().isPresent() && !connection.isFirstExchange();
    }

    /** Returns whether the caller gets the target's signature, which the target may have declared hop-by-hop. */
    private boolean isForwardedWithSignature(BufferedResponse response, ResponseHeaders headers) {
        HttpHeaders forwarded = ConnectionHeaders.endToEnd(response.headers());
        return forwarded == response.headers()
                ? headers.signed()
                : context.headerCodec()
                        .readResponse(response.status(), forwarded)
                        .signed();
    }

    /** Returns whether the body is coded in another way than in chunks; the caller would get it as it is. */
    private static boolean hasUnknownTransferCoding(HttpHeaders headers) {
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.size() > 1
                || codings.stream()
                        .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.trim()));
    }

    private void fail(ErrorKind kind, BufferedResponse response, String outcome) {
        response.memory().release();
        routedRequest.attemptFailed(this, kind, true, describe(outcome));
    }

    @Override
    public void exchangeFailed(ExchangeException cause) {
        if (ended) {
            return;
        }
        if (cause.isResponseUnusable()) {
            target.onErrorResponse(context.clock().nowMillis());
        } else {
            target.onNoResponse(context.clock().nowMillis(), false);
        }
        markEnded();
        if (cause.isPossiblySent()) {
            context.sharedState().versions().evidence().recordLoss(target, route.name());
        }
        ErrorKind kind = cause.isPossiblySent() ? ErrorKind.TARGET_LOST : ErrorKind.TARGET_UNREACHABLE;
        routedRequest.attemptFailed(this, kind, cause.isPossiblySent(), describe(cause.getMessage()));
    }

    /** Ends the attempt and closes its connection, upon which most targets cancel the request. */
    void abort() {
        if (!ended) {
            markEnded();
            if (connection != null) {
                context.sharedState().versions().evidence().recordAborted(target, route, elapsedMillis());
                connection.abort();
            }
        }
    }

    /** Counts a response that is missing or bad against the version of the target. */
    private void recordFailure() {
        context.sharedState().versions().evidence().recordFailure(target, route.name());
    }

    private void markEnded() {
        ended = true;
        target.onRequestEnded();
    }

    /** Returns the outcome with the target and the elapsed time, for the log. */
    private String describe(String outcome) {
        return "target=" + target.incarnation() + " elapsed=" + elapsedMillis() + "ms " + outcome;
    }
}
