package org.snipewind.standins.load;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.standins.deployment.SampleConfiguration;

/** Open-loop load generator: sends requests at their intended times without waiting for earlier responses. */
public final class LoadGenerator implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 512;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 32_000;

    private final Map<String, HttpTransport> transports = new ConcurrentHashMap<>();

    /**
     * Sends all requests of a load and waits until each has ended.
     *
     * @param requests requests in the order of their intended times
     * @return the outcomes in the same order
     */
    public List<LoadOutcome> run(List<LoadRequest> requests) {
        List<CompletableFuture<LoadOutcome>> outcomes = new ArrayList<>(requests.size());
        long startNanos = System.nanoTime();
        for (LoadRequest request : requests) {
            for (long waitNanos = request.atNanos(); waitNanos > 0; ) {
                waitNanos = startNanos + request.atNanos() - System.nanoTime();
                LockSupport.parkNanos(waitNanos);
            }
            outcomes.add(send(request, startNanos));
        }
        return outcomes.stream().map(CompletableFuture::join).toList();
    }

    /**
     * Sends one request immediately.
     *
     * @param request the request
     * @return the response; completes exceptionally if there is none
     */
    public CompletableFuture<BufferedResponse> exchange(LoadRequest request) {
        HttpTransport transport = transports.computeIfAbsent(
                request.address(),
                ignored -> new HttpTransport(
                        HttpTransportSettings.of(MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS)));
        Map<String, List<String>> headers = request.organisation().isEmpty()
                ? Map.of()
                : Map.of("Snipewind-Key", List.of(SampleConfiguration.apiKeyOf(request.organisation())));
        return transport.exchange(
                request.method(),
                URI.create("http://" + request.address() + request.uri()),
                headers,
                new byte[0],
                RESPONSE_TIMEOUT_MILLIS);
    }

    @Override
    public void close() {
        transports.values().forEach(HttpTransport::close);
    }

    private CompletableFuture<LoadOutcome> send(LoadRequest request, long startNanos) {
        return exchange(request).handle((response, failure) -> {
            long endNanos = System.nanoTime() - startNanos;
            if (failure != null) {
                return new LoadOutcome(request, 0, "no-answer", "unknown", endNanos);
            }
            return new LoadOutcome(
                    request,
                    response.status(),
                    response.header("Snipewind-Error").orElse(""),
                    response.header("Snipewind-Execution").orElse(""),
                    endNanos);
        });
    }
}
