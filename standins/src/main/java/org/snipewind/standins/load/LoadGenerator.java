package org.snipewind.standins.load;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.standins.deployment.SampleConfiguration;

/** Sends requests at their intended times, whatever the answers do. */
public final class LoadGenerator implements AutoCloseable {

    private static final int CONNECTIONS = 512;
    private static final long CONNECT_MILLIS = 1_000;
    private static final long LONGEST_MILLIS = 32_000;

    private final Map<String, HttpTransport> transports = new ConcurrentHashMap<>();

    /**
     * Runs a load and waits for all its ends.
     *
     * @param requests requests in the order of their intended times
     * @return the outcomes in the same order
     */
    public List<LoadOutcome> run(List<LoadRequest> requests) {
        List<CompletableFuture<LoadOutcome>> outcomes = new ArrayList<>(requests.size());
        long start = System.nanoTime();
        for (LoadRequest request : requests) {
            for (long wait = request.atNanos(); wait > 0; ) {
                wait = start + request.atNanos() - System.nanoTime();
                LockSupport.parkNanos(wait);
            }
            outcomes.add(send(request, start));
        }
        return outcomes.stream().map(CompletableFuture::join).toList();
    }

    /**
     * Sends one request at once.
     *
     * @param request the request
     * @return the answer; fails if none came
     */
    public CompletableFuture<HttpAnswer> exchange(LoadRequest request) {
        HttpTransport transport = transports.computeIfAbsent(
                request.address(),
                ignored -> new HttpTransport(HttpTransportSettings.of(CONNECTIONS, CONNECT_MILLIS, LONGEST_MILLIS)));
        Map<String, List<String>> headers = request.organisation().isEmpty()
                ? Map.of()
                : Map.of("Snipewind-Key", List.of(SampleConfiguration.apiKeyOf(request.organisation())));
        return transport.exchange(
                request.method(),
                URI.create("http://" + request.address() + request.uri()),
                headers,
                new byte[0],
                LONGEST_MILLIS);
    }

    @Override
    public void close() {
        transports.values().forEach(HttpTransport::close);
    }

    private CompletableFuture<LoadOutcome> send(LoadRequest request, long start) {
        return exchange(request).handle((answer, failure) -> {
            long end = System.nanoTime() - start;
            if (failure != null) {
                return new LoadOutcome(request, 0, "no-answer", "unknown", end);
            }
            return new LoadOutcome(
                    request,
                    answer.status(),
                    answer.header("Snipewind-Error").orElse(""),
                    answer.header("Snipewind-Execution").orElse(""),
                    end);
        });
    }
}
