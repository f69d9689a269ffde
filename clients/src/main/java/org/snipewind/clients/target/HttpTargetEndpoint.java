package org.snipewind.clients.target;

import io.vavr.control.Either;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.HttpExchangeException;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/** Reaches a target over HTTP. */
public final class HttpTargetEndpoint implements TargetEndpoint {

    // Grant orders and cancellations have connections of their own, so that they never wait behind requests.
    private static final int CONTROL_CONNECTIONS = 8;
    // Above the longest deadline of 30 s, so that the deadline of the request always decides.
    private static final long LONGEST_REQUEST_MILLIS = 31_000;
    // The transport sets these itself, and the body is never held back for an interim answer.
    private static final Set<String> TRANSPORT_HEADERS = Set.of("host", "content-length", "expect");
    private static final Set<String> OWN_HEADERS = Set.of(
            TargetHeaders.TOKEN.toLowerCase(Locale.ROOT),
            TargetHeaders.SLICE.toLowerCase(Locale.ROOT),
            TargetHeaders.ORGANISATION.toLowerCase(Locale.ROOT),
            TargetHeaders.REQUEST.toLowerCase(Locale.ROOT),
            TargetHeaders.DEADLINE.toLowerCase(Locale.ROOT));
    private static final byte[] NO_BODY = new byte[0];

    private final String base;
    private final long controlTimeoutMillis;
    private final HttpTransport requests;
    private final HttpTransport control;

    /**
     * Creates an endpoint.
     *
     * @param address host and port of the target
     * @param connections connections for requests at a time
     * @param connectTimeoutMillis longest time to open a connection
     * @param controlTimeoutMillis longest time for the answer to a grant order or a cancellation
     */
    public HttpTargetEndpoint(String address, int connections, long connectTimeoutMillis, long controlTimeoutMillis) {
        base = "http://" + address;
        this.controlTimeoutMillis = controlTimeoutMillis;
        requests =
                new HttpTransport(HttpTransportSettings.of(connections, connectTimeoutMillis, LONGEST_REQUEST_MILLIS));
        control = new HttpTransport(
                HttpTransportSettings.of(CONTROL_CONNECTIONS, connectTimeoutMillis, controlTimeoutMillis));
    }

    @Override
    public CompletableFuture<GrantAcknowledgement> grant(GrantOrder order) {
        return control.exchange(
                        "PUT",
                        URI.create(base + TargetHeaders.GRANT_PATH),
                        Map.of("Content-Type", List.of("application/json")),
                        GrantCodec.encode(order),
                        controlTimeoutMillis)
                .thenApply(HttpTargetEndpoint::acknowledgement);
    }

    @Override
    public CompletableFuture<Either<Refusal, TargetAnswer>> send(TargetRequest request) {
        if (request.remainingMillis() <= 0) {
            return refused(ErrorKind.DEADLINE_BEFORE_SEND, "the deadline passed before the request was sent");
        }
        URI uri;
        try {
            uri = URI.create(base + request.uri());
        } catch (IllegalArgumentException e) {
            return refused(ErrorKind.MALFORMED_REQUEST, "the path or query is not a valid URI");
        }
        return requests.exchange(request.method(), uri, headers(request), request.body(), request.remainingMillis())
                .handle((answer, failure) -> failure == null ? outcome(answer) : refusal(request, failure));
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // A lost cancellation only leaves the work to its deadline.
    public void cancel(String requestId) {
        String encoded = URLEncoder.encode(requestId, StandardCharsets.UTF_8);
        URI uri = URI.create(base + TargetHeaders.REQUESTS_PATH + encoded);
        control.exchange("DELETE", uri, Map.of(), NO_BODY, controlTimeoutMillis).exceptionally(failure -> null);
    }

    @Override
    public void close() {
        requests.close();
        control.close();
    }

    private static Map<String, List<String>> headers(TargetRequest request) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        HopByHopHeaders.strip(request.headers()).forEach((name, values) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (!TRANSPORT_HEADERS.contains(lowerCase) && !OWN_HEADERS.contains(lowerCase)) {
                headers.put(name, values);
            }
        });
        headers.put(TargetHeaders.TOKEN, List.of(Long.toString(request.token())));
        request.slice().ifPresent(slice -> headers.put(TargetHeaders.SLICE, List.of(Integer.toString(slice))));
        if (!request.organisation().isEmpty()) {
            headers.put(TargetHeaders.ORGANISATION, List.of(request.organisation()));
        }
        headers.put(TargetHeaders.REQUEST, List.of(request.requestId()));
        headers.put(TargetHeaders.DEADLINE, List.of(Long.toString(request.remainingMillis())));
        return headers;
    }

    private static GrantAcknowledgement acknowledgement(HttpAnswer answer) {
        if (answer.status() != 200) {
            throw new IllegalStateException("the target answered a grant order with status " + answer.status());
        }
        return GrantCodec.decode(answer.body(), GrantAcknowledgement.class);
    }

    private static Either<Refusal, TargetAnswer> outcome(HttpAnswer answer) {
        String reason = answer.header(TargetHeaders.NOT_RUN).orElse("");
        return switch (reason) {
            case TargetHeaders.NOT_RUN_SHED -> refusal(ErrorKind.TARGET_SHED, "the target shed the request");
            case TargetHeaders.NOT_RUN_FENCED ->
                refusal(ErrorKind.FENCED, "the target refused the token or does not hold the slice");
            default ->
                Either.right(new TargetAnswer(answer.status(), HopByHopHeaders.strip(answer.headers()), answer.body()));
        };
    }

    private Either<Refusal, TargetAnswer> refusal(TargetRequest request, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (!(cause instanceof HttpExchangeException exchange)) {
            return refusal(ErrorKind.TARGET_LOST, "the exchange with the target failed");
        }
        switch (exchange.stage()) {
            case NO_CONNECTION:
                return refusal(ErrorKind.OVERLOADED, "all connections to the target are in use");
            case NOT_SENT:
                return refusal(ErrorKind.TARGET_UNREACHABLE, "the connection to the target could not be opened");
            case ANSWER_INCOMPLETE:
                return refusal(ErrorKind.ANSWER_INCOMPLETE, "the target's answer was cut short");
            case ANSWER_TOO_LARGE:
                return refusal(ErrorKind.ANSWER_TOO_LARGE, "the target's answer exceeds 1 MiB");
            case TIMED_OUT:
                cancel(request.requestId());
                return refusal(ErrorKind.DEADLINE_AFTER_SEND, "the deadline passed before the whole answer arrived");
            case NO_ANSWER:
            default:
                return refusal(ErrorKind.TARGET_LOST, "the connection was lost after the request was sent");
        }
    }

    private static Either<Refusal, TargetAnswer> refusal(ErrorKind kind, String detail) {
        return Either.left(Refusal.of(kind, detail));
    }

    private static CompletableFuture<Either<Refusal, TargetAnswer>> refused(ErrorKind kind, String detail) {
        return CompletableFuture.completedFuture(refusal(kind, detail));
    }
}
