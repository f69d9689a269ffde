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
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.HttpExchangeException;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.coordination.error.Execution;

/** Sends the requests of a trace at their intended times, whether or not earlier ones have been answered. */
public final class ReplayEngine implements AutoCloseable {

    private static final int CONNECTIONS = 2_000;
    private static final long CONNECT_MILLIS = 2_000;
    private static final long LONGEST_EXCHANGE_MILLIS = 40_000;
    // The router refuses at the deadline; without this allowance the caller would miss its word on whether the
    // request ran.
    private static final long GRACE_MILLIS = 2_000;

    private final ReplayOptions options;
    private final List<HttpTransport> transports = new ArrayList<>();

    /**
     * Creates an engine with connections of its own.
     *
     * @param options where and how requests are sent
     */
    public ReplayEngine(ReplayOptions options) {
        this.options = options;
        options.addresses()
                .forEach(address -> transports.add(new HttpTransport(
                        HttpTransportSettings.of(CONNECTIONS, CONNECT_MILLIS, LONGEST_EXCHANGE_MILLIS))));
    }

    /**
     * Replays a trace and waits for all outcomes.
     *
     * @param requests requests in the order of their times
     * @param progress follows the sending
     * @return the outcomes in the order of the requests
     */
    public List<ReplayResult> replay(List<TraceRequest> requests, ReplayProgressListener progress) {
        List<CompletableFuture<ReplayResult>> results = new ArrayList<>(requests.size());
        long start = System.nanoTime();
        for (TraceRequest request : requests) {
            awaitTime(start + TimeUnit.MILLISECONDS.toNanos(request.timeMillis()));
            results.add(send(request, options.idPrefix() + results.size(), start));
            progress.requestSent(results.size(), requests.size());
        }
        return results.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public void close() {
        transports.forEach(HttpTransport::close);
    }

    private CompletableFuture<ReplayResult> send(TraceRequest request, String id, long start) {
        int entry = request.entry() % transports.size();
        String key = request.key().isEmpty() ? "" : "/" + request.key();
        String uri = request.route() + key + "?request=" + id;
        Map<String, List<String>> headers = new LinkedHashMap<>();
        if (!request.organisation().isEmpty()) {
            headers.put("Snipewind-Key", List.of(options.keyPrefix() + request.organisation()));
        }
        long intended = TimeUnit.MILLISECONDS.toMicros(request.timeMillis());
        long sent = micros(start);
        long remaining = Math.max(1, request.deadlineMillis() - TimeUnit.MICROSECONDS.toMillis(sent - intended));
        headers.put("Snipewind-Deadline-Millis", List.of(String.valueOf(remaining)));
        headers.put("Service-Millis", List.of(String.valueOf(request.serviceMillis())));
        return transports
                .get(entry)
                .exchange(
                        request.idempotent() ? "GET" : "POST",
                        URI.create("http://" + options.addresses().get(entry) + uri),
                        headers,
                        new byte[0],
                        remaining + GRACE_MILLIS)
                .handle((answer, failure) -> {
                    long end = micros(start);
                    OutcomeKind kind = failure == null ? kindOf(answer) : kindOf(failure);
                    String reason =
                            failure == null ? answer.header("Snipewind-Error").orElse("") : reasonOf(failure);
                    return new ReplayResult(
                            id, uri, request, intended, sent, end, kind, reason, Optional.ofNullable(answer));
                });
    }

    private static OutcomeKind kindOf(HttpAnswer answer) {
        if (answer.header("Snipewind-Error").isEmpty()) {
            return OutcomeKind.ANSWERED;
        }
        String execution = answer.header("Snipewind-Execution").orElse("");
        if (execution.equals(Execution.NOT_RUN.wireName())) {
            return OutcomeKind.NOT_RUN;
        }
        return execution.equals(Execution.RAN.wireName()) ? OutcomeKind.RAN : OutcomeKind.UNKNOWN;
    }

    private static OutcomeKind kindOf(Throwable failure) {
        return cause(failure) instanceof HttpExchangeException exchange
                        && (exchange.stage() == HttpExchangeException.Stage.NOT_SENT
                                || exchange.stage() == HttpExchangeException.Stage.NO_CONNECTION)
                ? OutcomeKind.NOT_RUN
                : OutcomeKind.UNKNOWN;
    }

    private static String reasonOf(Throwable failure) {
        return cause(failure) instanceof HttpExchangeException exchange
                ? "caller-" + exchange.stage().name().toLowerCase(Locale.ROOT).replace('_', '-')
                : "caller-" + cause(failure).getClass().getSimpleName();
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static long micros(long start) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
    }

    private static void awaitTime(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
