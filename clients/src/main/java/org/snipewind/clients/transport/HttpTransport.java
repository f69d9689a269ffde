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
import org.snipewind.clients.transport.HttpExchangeException.Stage;
import reactor.core.publisher.Mono;

/**
 * Sends HTTP requests with whole bodies, each once, and receives whole answers.
 *
 * <p>Redirects are not followed, contents are not decompressed, and every status is an answer. The head of an answer is
 * received apart from its body, because a loss before the head and a loss within the body are told differently.
 */
public final class HttpTransport implements AutoCloseable {

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final RawHttpClient client;
    private final int answerBytes;
    private final Semaphore connections;

    /**
     * Creates a transport with an event loop of its own.
     *
     * @param settings limits
     */
    public HttpTransport(HttpTransportSettings settings) {
        HttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setNumOfThreads(1);
        configuration.setExceptionOnErrorStatus(false);
        configuration.setFollowRedirects(false);
        configuration.setDecompressionEnabled(false);
        configuration.setMaxContentLength(settings.answerBytes());
        configuration.setConnectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()));
        configuration.setReadTimeout(Duration.ofMillis(settings.longestExchangeMillis()));
        configuration.setRequestTimeout(Duration.ofMillis(settings.longestExchangeMillis()));
        configuration.setReadIdleTimeout(Duration.ofMillis(settings.longestExchangeMillis()));
        configuration.setConnectionPoolIdleTimeout(Duration.ofMillis(settings.idleMillis()));
        configuration.setShutdownQuietPeriod(Duration.ZERO);
        configuration.getConnectionPoolConfiguration().setMaxConcurrentHttp1Connections(settings.connections());
        client = RawHttpClient.create(null, configuration);
        answerBytes = settings.answerBytes();
        connections = new Semaphore(settings.connections());
    }

    /**
     * Sends a request once.
     *
     * @param method HTTP method
     * @param uri absolute address
     * @param headers headers of the request
     * @param body the whole body
     * @param timeoutMillis time until the whole answer must have arrived
     * @return the whole answer; fails with {@link HttpExchangeException}
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The stages report their failures through the outcome.
    public CompletableFuture<HttpAnswer> exchange(
            String method, URI uri, Map<String, List<String>> headers, byte[] body, long timeoutMillis) {
        CompletableFuture<HttpAnswer> outcome = new CompletableFuture<>();
        MutableHttpRequest<?> request;
        try {
            request = request(method, uri, headers);
        } catch (IllegalArgumentException e) {
            outcome.completeExceptionally(
                    new HttpExchangeException(Stage.NOT_SENT, "a header or the method is malformed", e));
            return outcome;
        }
        if (!connections.tryAcquire()) {
            outcome.completeExceptionally(
                    new HttpExchangeException(Stage.NO_CONNECTION, "all connections are in use", null));
            return outcome;
        }
        CompletableFuture<Void> timer =
                new CompletableFuture<Void>().completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS);
        timer.thenRun(() -> outcome.completeExceptionally(
                new HttpExchangeException(Stage.TIMED_OUT, "no whole answer within " + timeoutMillis + " ms", null)));
        outcome.whenComplete((answer, failure) -> timer.cancel(false));
        // The client offers no way to close the connection of an exchange that waits for its head, so an exchange that
        // timed out keeps its connection until the answer comes or the read timeout passes.
        Mono.defer(() -> Mono.from(client.exchange(request, bodyOf(body), null)))
                .toFuture()
                .whenComplete((answer, failure) -> {
                    if (failure != null) {
                        connections.release();
                        outcome.completeExceptionally(beforeHead(failure));
                    } else if (outcome.isDone()) {
                        close(answer);
                        connections.release();
                    } else {
                        receiveBody(method, (ByteBodyHttpResponse<?>) answer, outcome);
                    }
                });
        return outcome;
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException("the HTTP client could not be closed", e);
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The stage reports its failure through the outcome.
    private void receiveBody(String method, ByteBodyHttpResponse<?> response, CompletableFuture<HttpAnswer> outcome) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : response.getHeaders().names()) {
            headers.put(name, List.copyOf(response.getHeaders().getAll(name)));
        }
        HttpAnswer head = new HttpAnswer(response.code(), headers, new byte[0]);
        boolean endIsMarked = head.header("Content-Length").isPresent()
                || head.header("Transfer-Encoding").isPresent()
                || method.equals("HEAD")
                || head.status() == NO_CONTENT
                || head.status() == NOT_MODIFIED;
        if (!endIsMarked) {
            outcome.completeExceptionally(failure(
                    Stage.ANSWER_INCOMPLETE,
                    "the end of the answer is marked by nothing but a closed connection",
                    head));
            return;
        }
        response.byteBody().buffer().whenComplete((body, failure) -> {
            connections.release();
            if (failure != null) {
                outcome.completeExceptionally(withinBody(failure, head));
            } else {
                complete(body, head, outcome);
            }
            close(response);
        });
    }

    private void complete(CloseableAvailableByteBody body, HttpAnswer head, CompletableFuture<HttpAnswer> outcome) {
        byte[] content = body.toByteArray();
        if (content.length > answerBytes) {
            outcome.completeExceptionally(failure(Stage.ANSWER_TOO_LARGE, "the answer exceeds the limit", head));
        } else {
            outcome.complete(new HttpAnswer(head.status(), head.headers(), content));
        }
    }

    private static MutableHttpRequest<?> request(String method, URI uri, Map<String, List<String>> headers) {
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

    private static HttpExchangeException beforeHead(Throwable failure) {
        boolean isNotSent = hasCause(failure, ConnectException.class)
                || hasCause(failure, NoRouteToHostException.class)
                || hasCause(failure, UnknownHostException.class);
        return new HttpExchangeException(
                isNotSent ? Stage.NOT_SENT : Stage.NO_ANSWER, String.valueOf(failure.getMessage()), failure);
    }

    private static HttpExchangeException withinBody(Throwable failure, HttpAnswer head) {
        Stage stage = hasCause(failure, ContentLengthExceededException.class)
                        || hasCause(failure, io.micronaut.http.exceptions.ContentLengthExceededException.class)
                        || hasCause(failure, io.micronaut.http.exceptions.BufferLengthExceededException.class)
                ? Stage.ANSWER_TOO_LARGE
                : Stage.ANSWER_INCOMPLETE;
        return new HttpExchangeException(stage, String.valueOf(failure.getMessage()), failure, Optional.of(head));
    }

    private static HttpExchangeException failure(Stage stage, String message, HttpAnswer head) {
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
