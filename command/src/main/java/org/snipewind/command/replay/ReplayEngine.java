package org.snipewind.command.replay;

import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpExchangeException;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.coordination.error.Execution;

/** Sends the requests of a trace at their intended times, without waiting for the responses of earlier requests. */
public final class ReplayEngine implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 2_000;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MILLIS = 40_000;
    /**
     * Time that the client waits beyond the deadline. The router refuses a request at its deadline, and without this
     * time the client would miss the refusal, which says whether the request ran.
     */
    private static final long DEADLINE_GRACE_MILLIS = 2_000;

    private final ReplayOptions options;
    private final List<HttpTransport> transports = new ArrayList<>();

    /**
     * Creates an engine with its own connections.
     *
     * @param options options of the replay
     */
    public ReplayEngine(ReplayOptions options) {
        this.options = options;
        options.addresses()
                .forEach(address -> transports.add(new HttpTransport(
                        HttpTransportSettings.of(MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS))));
    }

    /**
     * Replays a trace and waits until all outcomes are known.
     *
     * @param requests requests in the order of their send times
     * @param listener notified of each request that is sent
     * @return the outcomes in the order of the requests
     */
    public List<ReplayResult> replay(List<TraceRequest> requests, ReplayProgressListener listener) {
        List<CompletableFuture<ReplayResult>> results = new ArrayList<>(requests.size());
        long startNanos = System.nanoTime();
        for (TraceRequest request : requests) {
            sleepUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(request.timeMillis()));
            results.add(send(request, options.idPrefix() + results.size(), startNanos));
            listener.requestSent(results.size(), requests.size());
        }
        return results.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public void close() {
        transports.forEach(HttpTransport::close);
    }

    private CompletableFuture<ReplayResult> send(TraceRequest request, String id, long startNanos) {
        int entryIndex = request.entry() % transports.size();
        String key = request.key().isEmpty() ? "" : "/" + request.key();
        String uri = request.route() + key + "?request=" + id;
        Map<String, List<String>> headers = new LinkedHashMap<>();
        if (!request.organisation().isEmpty()) {
            headers.put("Snipewind-Key", List.of(options.keyPrefix() + request.organisation()));
        }
        long intendedMicros = TimeUnit.MILLISECONDS.toMicros(request.timeMillis());
        long sentMicros = microsSince(startNanos);
        long remainingMillis =
                Math.max(1, request.deadlineMillis() - TimeUnit.MICROSECONDS.toMillis(sentMicros - intendedMicros));
        headers.put("Snipewind-Deadline-Millis", List.of(String.valueOf(remainingMillis)));
        headers.put("Service-Millis", List.of(String.valueOf(request.serviceMillis())));
        return transports
                .get(entryIndex)
                .exchange(
                        request.idempotent() ? "GET" : "POST",
                        URI.create("http://" + options.addresses().get(entryIndex) + uri),
                        headers,
                        new byte[0],
                        remainingMillis + DEADLINE_GRACE_MILLIS)
                .handle((response, failure) -> {
                    long endMicros = microsSince(startNanos);
                    OutcomeKind kind = failure == null ? kindOf(response) : kindOf(failure);
                    String reason =
                            failure == null ? response.header("Snipewind-Error").orElse("") : reasonOf(failure);
                    return new ReplayResult(
                            id,
                            uri,
                            request,
                            intendedMicros,
                            sentMicros,
                            endMicros,
                            kind,
                            reason,
                            Optional.ofNullable(response));
                });
    }

    private static OutcomeKind kindOf(BufferedResponse response) {
        if (response.header("Snipewind-Error").isEmpty()) {
            return OutcomeKind.ANSWERED;
        }
        String execution = response.header("Snipewind-Execution").orElse("");
        if (execution.equals(Execution.NOT_RUN.wireName())) {
            return OutcomeKind.NOT_RUN;
        }
        return execution.equals(Execution.RAN.wireName()) ? OutcomeKind.RAN : OutcomeKind.UNKNOWN;
    }

    private static OutcomeKind kindOf(Throwable failure) {
        return unwrap(failure) instanceof HttpExchangeException exchangeFailure
                        && (exchangeFailure.stage() == HttpExchangeException.Stage.NOT_SENT
                                || exchangeFailure.stage() == HttpExchangeException.Stage.NO_CONNECTION)
                ? OutcomeKind.NOT_RUN
                : OutcomeKind.UNKNOWN;
    }

    private static String reasonOf(Throwable failure) {
        return unwrap(failure) instanceof HttpExchangeException exchangeFailure
                ? "caller-"
                        + exchangeFailure
                                .stage()
                                .name()
                                .toLowerCase(Locale.ROOT)
                                .replace('_', '-')
                : "caller-" + unwrap(failure).getClass().getSimpleName();
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static long microsSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }

    private static void sleepUntil(long targetNanos) {
        for (long remainingNanos = targetNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = targetNanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }
}
