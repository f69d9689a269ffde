package org.snipewind.daemon.http;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.DaemonCore;
import org.snipewind.daemon.entry.CallerRequest;
import org.snipewind.daemon.entry.PendingOutcome;
import org.snipewind.daemon.settings.RequestLimits;
import org.snipewind.router.metrics.ProcessMetrics;

/** Admits callers' requests within the limits on requests and bytes in progress, and counts their outcomes. */
public final class CallerAdmission {

    private final RequestLimits limits;
    private final Supplier<DaemonCore> core;
    private final ProcessMetrics metrics;
    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final AtomicLong bytesInFlight = new AtomicLong();
    private volatile boolean closing;

    /**
     * Creates an admission control without requests.
     *
     * @param limits limits of the daemon
     * @param core supplies the current core
     * @param metrics metrics of the daemon
     */
    public CallerAdmission(RequestLimits limits, Supplier<DaemonCore> core, ProcessMetrics metrics) {
        this.limits = limits;
        this.core = core;
        this.metrics = metrics;
        metrics.gauge("entry.requests-in-flight", requestsInFlight::get);
        metrics.gauge("entry.bytes-in-flight", bytesInFlight::get);
    }

    /**
     * Routes a request if it is within the limits, and refuses it otherwise.
     *
     * @param request the request
     * @return its outcome, which can be cancelled
     */
    public PendingOutcome submit(CallerRequest request) {
        Optional<Refusal> refusal = admit(request);
        if (refusal.isPresent()) {
            metrics.countRefusal(refusal.get().kind());
            return new PendingOutcome(CompletableFuture.completedFuture(Either.left(refusal.get())), () -> {});
        }
        long startNanos = System.nanoTime();
        PendingOutcome outcome = core.get().router().route(request);
        return new PendingOutcome(
                outcome.result().whenComplete((result, failure) -> release(request, result, startNanos)),
                outcome.cancellation());
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number of requests without an outcome
     */
    public int inFlight() {
        return requestsInFlight.get();
    }

    /** Makes all further responses ask callers to close their connections. */
    public void beginClosing() {
        closing = true;
    }

    /**
     * Returns whether responses ask callers to close their connections.
     *
     * @return true during shutdown
     */
    public boolean isClosing() {
        return closing;
    }

    private Optional<Refusal> admit(CallerRequest request) {
        int size = request.body().length;
        if (size > limits.bodyBytes()) {
            return Optional.of(
                    Refusal.of(ErrorKind.REQUEST_TOO_LARGE, "the body exceeds " + limits.bodyBytes() + " bytes"));
        }
        if (requestsInFlight.incrementAndGet() > limits.requests()) {
            requestsInFlight.decrementAndGet();
            return Optional.of(Refusal.of(ErrorKind.DAEMON_REQUESTS_LIMIT, "too many requests are in progress"));
        }
        if (bytesInFlight.addAndGet(size) > limits.bytes()) {
            bytesInFlight.addAndGet(-size);
            requestsInFlight.decrementAndGet();
            return Optional.of(Refusal.of(ErrorKind.DAEMON_BYTES_LIMIT, "too many bytes are in progress"));
        }
        return Optional.empty();
    }

    private void release(CallerRequest request, Either<Refusal, TargetResponse> result, long startNanos) {
        requestsInFlight.decrementAndGet();
        bytesInFlight.addAndGet(-request.body().length);
        if (result != null && result.isRight()) {
            metrics.count("entry.answers");
            metrics.recordRequest(System.nanoTime() - startNanos);
        } else if (result != null) {
            metrics.countRefusal(result.getLeft().kind());
        }
    }
}
