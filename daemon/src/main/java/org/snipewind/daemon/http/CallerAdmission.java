package org.snipewind.daemon.http;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.DaemonCore;
import org.snipewind.daemon.entry.CallerRequest;
import org.snipewind.daemon.entry.PendingOutcome;
import org.snipewind.daemon.settings.RequestLimits;
import org.snipewind.router.metrics.RouterMetrics;

/** Lets callers' requests in within the limits on requests and bytes, and counts their outcomes. */
public final class CallerAdmission {

    private final RequestLimits limits;
    private final Supplier<DaemonCore> core;
    private final RouterMetrics metrics;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();
    private volatile boolean closing;

    /**
     * Creates a gate.
     *
     * @param limits limits of the daemon
     * @param core gives the running core
     * @param metrics metrics of the daemon
     */
    public CallerAdmission(RequestLimits limits, Supplier<DaemonCore> core, RouterMetrics metrics) {
        this.limits = limits;
        this.core = core;
        this.metrics = metrics;
        metrics.gauge("entry.requests-in-flight", requests::get);
        metrics.gauge("entry.bytes-in-flight", bytes::get);
    }

    /**
     * Takes a request.
     *
     * @param request the request
     * @return its outcome, which can be cancelled
     */
    public PendingOutcome submit(CallerRequest request) {
        Optional<Refusal> refusal = enter(request);
        if (refusal.isPresent()) {
            metrics.countRefusal(refusal.get().kind());
            return new PendingOutcome(CompletableFuture.completedFuture(Either.left(refusal.get())), () -> {});
        }
        long startNanos = System.nanoTime();
        PendingOutcome outcome = core.get().router().route(request);
        return new PendingOutcome(
                outcome.result().whenComplete((result, failure) -> leave(request, result, startNanos)),
                outcome.cancellation());
    }

    /**
     * Counts the requests in progress.
     *
     * @return number of requests without an outcome
     */
    public int inFlight() {
        return requests.get();
    }

    /** Makes answers ask callers to close their connections. */
    public void beginClosing() {
        closing = true;
    }

    /**
     * Tells whether answers ask callers to close their connections.
     *
     * @return true during shutdown
     */
    public boolean isClosing() {
        return closing;
    }

    private Optional<Refusal> enter(CallerRequest request) {
        int size = request.body().length;
        if (size > limits.bodyBytes()) {
            return Optional.of(
                    Refusal.of(ErrorKind.REQUEST_TOO_LARGE, "the body exceeds " + limits.bodyBytes() + " bytes"));
        }
        if (requests.incrementAndGet() > limits.requests()) {
            requests.decrementAndGet();
            return Optional.of(Refusal.of(ErrorKind.DAEMON_REQUESTS_LIMIT, "too many requests are in progress"));
        }
        if (bytes.addAndGet(size) > limits.bytes()) {
            bytes.addAndGet(-size);
            requests.decrementAndGet();
            return Optional.of(Refusal.of(ErrorKind.DAEMON_BYTES_LIMIT, "too many bytes are in progress"));
        }
        return Optional.empty();
    }

    private void leave(CallerRequest request, Either<Refusal, TargetAnswer> result, long startNanos) {
        requests.decrementAndGet();
        bytes.addAndGet(-request.body().length);
        if (result != null && result.isRight()) {
            metrics.count("entry.answers");
            metrics.recordRequest(System.nanoTime() - startNanos);
        } else if (result != null) {
            metrics.countRefusal(result.getLeft().kind());
        }
    }
}
