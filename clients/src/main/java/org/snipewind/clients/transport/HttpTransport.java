package org.snipewind.clients.transport;

import io.micronaut.buffer.netty.NettyByteBufferFactory;
import io.micronaut.http.ByteBodyHttpResponse;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.body.CloseableAvailableByteBody;
import io.micronaut.http.body.stream.AvailableByteArrayBody;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.RawHttpClient;
import io.micronaut.http.client.exceptions.ContentLengthExceededException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.snipewind.clients.transport.HttpExchangeException.Stage;
import reactor.core.publisher.Mono;

/**
 * Sends HTTP requests and buffers their complete responses.
 *
 * <p>Each request is sent once: redirects are not followed and failures are not retried. Bodies are not decompressed,
 * and a response with an error status is returned like any other. The head of a response is received separately from
 * its body, because a connection lost before the head and one lost within the body are reported as different stages.
 */
public final class HttpTransport implements AutoCloseable {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}(?: |$)");
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final RawHttpClient client;
    private final int maxResponseBytes;
    private final Semaphore connectionPermits;

    /**
     * Creates a transport with its own event loop.
     *
     * @param settings limits of the transport
     */
    public HttpTransport(HttpTransportSettings settings) {
        HttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setNumOfThreads(1);
        configuration.setExceptionOnErrorStatus(false);
        configuration.setFollowRedirects(false);
        configuration.setDecompressionEnabled(false);
        configuration.setMaxContentLength(settings.maxResponseBytes());
        configuration.setConnectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()));
        configuration.setReadTimeout(Duration.ofMillis(settings.readTimeoutMillis()));
        configuration.setRequestTimeout(Duration.ofMillis(settings.readTimeoutMillis()));
        configuration.setReadIdleTimeout(Duration.ofMillis(settings.readTimeoutMillis()));
        configuration.setConnectionPoolIdleTimeout(Duration.ofMillis(settings.idleTimeoutMillis()));
        configuration.setShutdownQuietPeriod(Duration.ZERO);
        configuration.getConnectionPoolConfiguration().setMaxConcurrentHttp1Connections(settings.maxConnections());
        client = RawHttpClient.create(null, configuration);
        maxResponseBytes = settings.maxResponseBytes();
        connectionPermits = new Semaphore(settings.maxConnections());
    }

    /**
     * Sends a request once.
     *
     * @param method HTTP method
     * @param uri absolute URI
     * @param headers headers of the request
     * @param body the complete body
     * @param timeoutMillis time within which the complete response must arrive
     * @return the complete response; fails with {@link HttpExchangeException}
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The stages complete the outcome with their failures.
    public CompletableFuture<BufferedResponse> exchange(
            String method, URI uri, Map<String, List<String>> headers, byte[] body, long timeoutMillis) {
        CompletableFuture<BufferedResponse> outcome = new CompletableFuture<>();
        MutableHttpRequest<?> request;
        try {
            request = createRequest(method, uri, headers);
        } catch (IllegalArgumentException e) {
            outcome.completeExceptionally(
                    new HttpExchangeException(Stage.NOT_SENT, "a request header or the method is malformed", e));
            return outcome;
        }
        if (!connectionPermits.tryAcquire()) {
            outcome.completeExceptionally(
                    new HttpExchangeException(Stage.NO_CONNECTION, "all connections are in use", null));
            return outcome;
        }
        CompletableFuture<Void> timer =
                new CompletableFuture<Void>().completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS);
        timer.thenRun(() -> outcome.completeExceptionally(new HttpExchangeException(
                Stage.TIMED_OUT, "no complete response within " + timeoutMillis + " ms", null)));
        outcome.whenComplete((response, failure) -> timer.cancel(false));
        // The client cannot close the connection of an exchange whose response head has not arrived, so an exchange
        // that timed out keeps its connection until the response arrives or the read timeout passes.
        Mono.defer(() -> Mono.from(client.exchange(request, bodyOf(body), null)))
                .toFuture()
                .whenComplete((response, failure) -> {
                    if (failure != null) {
                        connectionPermits.release();
                        outcome.completeExceptionally(failureBeforeHead(failure));
                    } else if (outcome.isDone()) {
                        close(response);
                        connectionPermits.release();
                    } else {
                        receiveBody(method, (ByteBodyHttpResponse<?>) response, outcome);
                    }
                });
        return outcome;
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot close the HTTP client", e);
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The stage completes the outcome with its failure.
    private void receiveBody(
            String method, ByteBodyHttpResponse<?> response, CompletableFuture<BufferedResponse> outcome) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : response.getHeaders().names()) {
            headers.put(name, List.copyOf(response.getHeaders().getAll(name)));
        }
        BufferedResponse head = new BufferedResponse(response.code(), headers, new byte[0]);
        Optional<String> problem = problemOf(response, headers);
        if (problem.isPresent()) {
            connectionPermits.release();
            outcome.completeExceptionally(new HttpExchangeException(Stage.NO_ANSWER, problem.get(), null));
            close(response);
            return;
        }
        boolean isEndMarked = head.header("Content-Length").isPresent()
                || head.header("Transfer-Encoding").isPresent()
                || method.equals("HEAD")
                || head.status() == NO_CONTENT
                || head.status() == NOT_MODIFIED;
        if (!isEndMarked) {
            outcome.completeExceptionally(responseFailure(
                    Stage.ANSWER_INCOMPLETE, "only the closed connection marks the end of the response", head));
            return;
        }
        response.byteBody().buffer().whenComplete((body, failure) -> {
            connectionPermits.release();
            if (failure != null) {
                outcome.completeExceptionally(failureWithinBody(failure, head));
            } else {
                complete(body, head, outcome);
            }
            close(response);
        });
    }

    private static Optional<String> problemOf(HttpResponse<?> response, Map<String, List<String>> headers) {
        // The client accepts any integer as a status.
        if (response.code() < MIN_STATUS || response.code() > MAX_STATUS) {
            return Optional.of("the status is not from 100 to 599");
        }
        return containsStatusLine(response.reason(), headers)
                ? Optional.of("the head contains the beginning of another response")
                : Optional.empty();
    }

    /**
     * Returns whether a head contains the status line of another response. A server that breaks off a second copy of a
     * response leaves its beginning on the connection, and the next response is then decoded as the rest of it.
     */
    private static boolean containsStatusLine(String reason, Map<String, List<String>> headers) {
        return STATUS_LINE.matcher(reason).find()
                || headers.entrySet().stream()
                        .anyMatch(header -> STATUS_LINE.matcher(header.getKey()).find()
                                || header.getValue().stream().anyMatch(STATUS_LINE.asPredicate()));
    }

    private void complete(
            CloseableAvailableByteBody body, BufferedResponse head, CompletableFuture<BufferedResponse> outcome) {
        byte[] content = body.toByteArray();
        if (content.length > maxResponseBytes) {
            outcome.completeExceptionally(
                    responseFailure(Stage.ANSWER_TOO_LARGE, "the response exceeds the size limit", head));
        } else {
            outcome.complete(new BufferedResponse(head.status(), head.headers(), content));
        }
    }

    private static MutableHttpRequest<?> createRequest(String method, URI uri, Map<String, List<String>> headers) {
        MutableHttpRequest<?> request = HttpRequest.create(HttpMethod.parse(method), uri.toString(), method);
        headers.forEach(
                (name, values) -> values.forEach(value -> request.getHeaders().add(name, value)));
        return request;
    }

    private static AvailableByteArrayBody bodyOf(byte[] content) {
        return AvailableByteArrayBody.create(NettyByteBufferFactory.DEFAULT, content);
    }

    private static void close(HttpResponse<?> response) {
        if (response instanceof ByteBodyHttpResponse<?> closeable) {
            closeable.close();
        }
    }

    private static HttpExchangeException failureBeforeHead(Throwable failure) {
        boolean isNotSent = hasCause(failure, ConnectException.class)
                || hasCause(failure, NoRouteToHostException.class)
                || hasCause(failure, UnknownHostException.class);
        return new HttpExchangeException(
                isNotSent ? Stage.NOT_SENT : Stage.NO_ANSWER, String.valueOf(failure.getMessage()), failure);
    }

    private static HttpExchangeException failureWithinBody(Throwable failure, BufferedResponse head) {
        Stage stage = hasCause(failure, ContentLengthExceededException.class)
                        || hasCause(failure, io.micronaut.http.exceptions.ContentLengthExceededException.class)
                        || hasCause(failure, io.micronaut.http.exceptions.BufferLengthExceededException.class)
                ? Stage.ANSWER_TOO_LARGE
                : Stage.ANSWER_INCOMPLETE;
        return new HttpExchangeException(stage, String.valueOf(failure.getMessage()), failure, Optional.of(head));
    }

    private static HttpExchangeException responseFailure(Stage stage, String message, BufferedResponse head) {
        return new HttpExchangeException(stage, message, null, Optional.of(head));
    }

    private static boolean hasCause(Throwable failure, Class<? extends Throwable> type) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (type.isInstance(cause)) {
                return true;
            }
        }
        return false;
    }
}
