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
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpExchangeException;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/** Client of a target over HTTP. */
public final class HttpTargetClient implements TargetClient {

    // Grant requests and cancellations have connections of their own, so that they never wait for requests of callers.
    private static final int MAX_CONTROL_CONNECTIONS = 8;
    // Above the maximum deadline of 30 s, so that a request always ends at its own deadline first.
    private static final long REQUEST_READ_TIMEOUT_MILLIS = 31_000;
    // The transport sets these itself; Expect is dropped because the body is sent without waiting for "100 Continue".
    private static final Set<String> TRANSPORT_HEADERS = Set.of("host", "content-length", "expect");
    private static final Set<String> SUPERVISOR_HEADERS = Set.of(
            TargetHeaders.TOKEN.toLowerCase(Locale.ROOT),
            TargetHeaders.SLICE.toLowerCase(Locale.ROOT),
            TargetHeaders.ORGANISATION.toLowerCase(Locale.ROOT),
            TargetHeaders.REQUEST.toLowerCase(Locale.ROOT),
            TargetHeaders.DEADLINE.toLowerCase(Locale.ROOT));
    private static final byte[] NO_BODY = new byte[0];

    private final String baseUri;
    private final long controlTimeoutMillis;
    private final HttpTransport requestTransport;
    private final HttpTransport controlTransport;

    /**
     * Creates a client.
     *
     * @param address host and port of the target
     * @param maxConnections maximum number of connections for requests
     * @param connectTimeoutMillis maximum time to open a connection
     * @param controlTimeoutMillis maximum time for a grant request or a cancellation
     */
    public HttpTargetClient(String address, int maxConnections, long connectTimeoutMillis, long controlTimeoutMillis) {
        baseUri = "http://" + address;
        this.controlTimeoutMillis = controlTimeoutMillis;
        requestTransport = new HttpTransport(
                HttpTransportSettings.of(maxConnections, connectTimeoutMillis, REQUEST_READ_TIMEOUT_MILLIS));
        controlTransport = new HttpTransport(
                HttpTransportSettings.of(MAX_CONTROL_CONNECTIONS, connectTimeoutMillis, controlTimeoutMillis));
    }

    @Override
    public CompletableFuture<GrantAcknowledgement> grant(GrantRequest request) {
        return controlTransport
                .exchange(
                        "PUT",
                        URI.create(baseUri + TargetHeaders.GRANT_PATH),
                        Map.of("Content-Type", List.of("application/json")),
                        GrantCodec.encode(request),
                        controlTimeoutMillis)
                .thenApply(HttpTargetClient::decodeAcknowledgement);
    }

    @Override
    public CompletableFuture<Either<Refusal, TargetResponse>> send(TargetRequest request) {
        if (request.remainingMillis() <= 0) {
            return refused(ErrorKind.DEADLINE_BEFORE_SEND, "the deadline passed before the request was sent");
        }
        URI uri;
        try {
            uri = URI.create(baseUri + request.uri());
        } catch (IllegalArgumentException e) {
            return refused(ErrorKind.MALFORMED_REQUEST, "the path or query is not a valid URI");
        }
        return requestTransport
                .exchange(request.method(), uri, headers(request), request.body(), request.remainingMillis())
                .handle((response, failure) -> failure == null ? toOutcome(response) : refusal(request, failure));
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // If the cancellation is lost, the request ends at its deadline.
    public void cancel(String requestId) {
        String encoded = URLEncoder.encode(requestId, StandardCharsets.UTF_8);
        URI uri = URI.create(baseUri + TargetHeaders.REQUESTS_PATH + encoded);
        controlTransport
                .exchange("DELETE", uri, Map.of(), NO_BODY, controlTimeoutMillis)
                .exceptionally(failure -> null);
    }

    @Override
    public void close() {
        requestTransport.close();
        controlTransport.close();
    }

    private static Map<String, List<String>> headers(TargetRequest request) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        HopByHopHeaders.strip(request.headers()).forEach((name, values) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (!TRANSPORT_HEADERS.contains(lowerCase) && !SUPERVISOR_HEADERS.contains(lowerCase)) {
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

    private static GrantAcknowledgement decodeAcknowledgement(BufferedResponse response) {
        if (response.status() != 200) {
            throw new IllegalStateException("the target responded to a grant request with status " + response.status());
        }
        return GrantCodec.decode(response.body(), GrantAcknowledgement.class);
    }

    private static Either<Refusal, TargetResponse> toOutcome(BufferedResponse response) {
        String reason = response.header(TargetHeaders.NOT_RUN).orElse("");
        return switch (reason) {
            case TargetHeaders.NOT_RUN_SHED -> refusal(ErrorKind.TARGET_SHED, "the target shed the request");
            case TargetHeaders.NOT_RUN_FENCED ->
                refusal(ErrorKind.FENCED, "the target refused the token or does not hold the slice");
            default ->
                Either.right(new TargetResponse(
                        response.status(), HopByHopHeaders.strip(response.headers()), response.body()));
        };
    }

    private Either<Refusal, TargetResponse> refusal(TargetRequest request, Throwable failure) {
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

    private static Either<Refusal, TargetResponse> refusal(ErrorKind kind, String detail) {
        return Either.left(Refusal.of(kind, detail));
    }

    private static CompletableFuture<Either<Refusal, TargetResponse>> refused(ErrorKind kind, String detail) {
        return CompletableFuture.completedFuture(refusal(kind, detail));
    }
}
