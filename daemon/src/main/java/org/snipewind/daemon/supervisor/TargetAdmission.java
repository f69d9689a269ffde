package org.snipewind.daemon.supervisor;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.target.TargetClient;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.admission.AdmissionLimits;
import org.snipewind.coordination.admission.AdmissionQueue;
import org.snipewind.coordination.admission.ConcurrencyRamp;
import org.snipewind.coordination.admission.LatencyTracker;
import org.snipewind.coordination.admission.QueuedRequest;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.daemon.settings.RequestLimits;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.LoadAnswer;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * Admits requests to one target: holds them in a fair queue, limits the number in flight to the target's slots and its
 * concurrency ramp, and checks the permission to send immediately before each send. One lock guards the queue, the ramp
 * and the requests in flight; it is never held during a send or while a result is completed.
 */
final class TargetAdmission {

    private static final int MAX_REMEMBERED_IDS = 10_000;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double DEFAULT_SERVICE_MILLIS = 5.0;

    private final String target;
    private final MillisClock clock;
    private final TargetClient targetClient;
    private final SendPermission permission;
    private final BooleanSupplier canSend;
    private final ProcessMetrics metrics;
    private final PolicySettings policy;
    private final Object lock = new Object();
    private final AdmissionQueue<SubmittedRequest> queue;
    private final ConcurrencyRamp ramp;
    private final LatencyTracker latency;
    private final Map<String, SubmittedRequest> inFlight = new HashMap<>();
    private final Map<Integer, Long> submittedBySlice = new HashMap<>();
    private final Map<String, Boolean> recentIds = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REMEMBERED_IDS;
        }
    };
    private int slots;
    private boolean closing;

    TargetAdmission(
            String target,
            PoolSettings pool,
            RequestLimits limits,
            PolicySettings policy,
            MillisClock clock,
            TargetClient targetClient,
            SendPermission permission,
            BooleanSupplier canSend,
            ToIntFunction<String> weightOf,
            ProcessMetrics metrics) {
        this.target = target;
        this.clock = clock;
        this.targetClient = targetClient;
        this.permission = permission;
        this.canSend = canSend;
        this.metrics = metrics;
        this.policy = policy;
        this.slots = pool.slots();
        this.queue =
                new AdmissionQueue<>(clock, new AdmissionLimits(limits.queueEntries(), limits.queueBytes()), weightOf);
        this.ramp = new ConcurrencyRamp(
                pool.slots(), pool.coldStart().concurrency(), pool.coldStart().answersPerStep());
        this.latency = new LatencyTracker(clock);
    }

    void configure(PoolSettings pool) {
        synchronized (lock) {
            slots = pool.slots();
            ramp.configure(
                    pool.slots(),
                    pool.coldStart().concurrency(),
                    pool.coldStart().answersPerStep());
        }
    }

    /** Queues a request; its result completes with a response or a refusal. */
    void submit(SubmittedRequest submitted) {
        Optional<Refusal> refusal;
        List<QueuedRequest<SubmittedRequest>> evicted;
        synchronized (lock) {
            refusal = enqueue(submitted);
            evicted = queue.takeEvicted();
        }
        Refusal full = Refusal.of(ErrorKind.QUEUE_FULL, "the queue of " + target + " is full");
        evicted.forEach(queued -> queued.payload().refuse(full));
        if (refusal.isPresent()) {
            submitted.refuse(refusal.get());
        } else {
            sendQueued();
        }
    }

    /** Sends queued requests while the target has free slots. */
    void sendQueued() {
        while (canSend.getAsBoolean()) {
            Optional<SubmittedRequest> next;
            synchronized (lock) {
                if (inFlight.size() >= concurrencyLimit()) {
                    return;
                }
                next = queue.poll().map(QueuedRequest::payload);
                next.ifPresent(submitted -> inFlight.put(submitted.request().requestId(), submitted));
            }
            if (next.isEmpty()) {
                return;
            }
            checkAndSend(next.get());
        }
    }

    /** Refuses the queued requests whose deadline has passed. */
    void refuseExpired() {
        List<QueuedRequest<SubmittedRequest>> expired;
        synchronized (lock) {
            expired = queue.removeExpired();
        }
        Refusal refusal = Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND, "deadline passed in the queue of " + target);
        expired.forEach(queued -> queued.payload().refuse(refusal));
    }

    /** Refuses all queued requests. */
    void refuseQueued(Refusal refusal) {
        List<QueuedRequest<SubmittedRequest>> waiting;
        synchronized (lock) {
            waiting = queue.removeAll();
        }
        waiting.forEach(queued -> queued.payload().refuse(refusal));
    }

    /**
     * Refuses the queued requests that are no longer permitted, such as those with a withdrawn key. A missing lease or
     * grant does not count, since it may be renewed.
     */
    void refuseForbidden() {
        Map<SubmittedRequest, Refusal> refused = new HashMap<>();
        synchronized (lock) {
            queue.removeIf(queued -> {
                Either<Refusal, Long> checked =
                        permission.check(queued.payload().request());
                boolean remove = checked.isLeft() && checked.getLeft().kind() != ErrorKind.LEASE_EXPIRED;
                if (remove) {
                    refused.put(queued.payload(), checked.getLeft());
                }
                return remove;
            });
        }
        refused.forEach(SubmittedRequest::refuse);
    }

    /** Cancels a request that is queued or in flight. */
    void cancel(String requestId) {
        Optional<QueuedRequest<SubmittedRequest>> waiting;
        boolean sent;
        synchronized (lock) {
            waiting = queue.remove(requestId);
            sent = inFlight.containsKey(requestId);
        }
        waiting.ifPresent(queued ->
                queued.payload().refuse(Refusal.of(ErrorKind.CANCELLED, "cancelled while it waited for " + target)));
        if (sent) {
            targetClient.cancel(requestId);
        }
    }

    /** Closes the connection to the target once nothing is in flight, so that no response is truncated. */
    void closeWhenIdle() {
        boolean idle;
        synchronized (lock) {
            closing = true;
            idle = inFlight.isEmpty();
        }
        if (idle) {
            targetClient.close();
        }
    }

    void onIncarnation(String incarnation) {
        synchronized (lock) {
            ramp.onIncarnation(incarnation);
        }
    }

    int inFlightCount() {
        synchronized (lock) {
            return inFlight.size();
        }
    }

    int inFlightOutside(Set<Integer> slices) {
        synchronized (lock) {
            return (int) inFlight.values().stream()
                    .filter(submitted -> submitted.request().slice().isPresent()
                            && !slices.contains(submitted.request().slice().getAsInt()))
                    .count();
        }
    }

    /** Returns and resets the number of requests submitted for each slice since the last call. */
    Map<Integer, Long> takeLoadBySlice() {
        synchronized (lock) {
            Map<Integer, Long> load = new HashMap<>(submittedBySlice);
            submittedBySlice.clear();
            return load;
        }
    }

    LoadAnswer load(boolean available) {
        synchronized (lock) {
            return new LoadAnswer(
                    target,
                    available,
                    inFlight.size(),
                    queue.size(),
                    concurrencyLimit(),
                    latency.recentLatencyMicros());
        }
    }

    boolean isSlow() {
        return latency.isSlow();
    }

    private Optional<Refusal> enqueue(SubmittedRequest submitted) {
        ForwardRequest request = submitted.request();
        if (recentIds.putIfAbsent(request.requestId(), Boolean.TRUE) != null) {
            return Optional.of(Refusal.of(ErrorKind.DUPLICATE_REQUEST, "request id was received before"));
        }
        request.slice().ifPresent(slice -> submittedBySlice.merge(slice, 1L, Long::sum));
        // Without fair queueing, all requests share one queue in their order of arrival.
        String queueName = policy.fairQueueing() ? request.organisation() : "";
        QueuedRequest<SubmittedRequest> queued = new QueuedRequest<>(
                request.requestId(),
                queueName,
                policy.fairQueueing() && submitted.urgent(),
                submitted.deadlineMillis(),
                request.body().length,
                submitted);
        return queue.offer(queued, concurrencyLimit(), serviceMillis());
    }

    private double serviceMillis() {
        long micros = latency.recentLatencyMicros();
        return micros == 0 ? DEFAULT_SERVICE_MILLIS : micros / MICROS_PER_MILLI;
    }

    private int concurrencyLimit() {
        return policy.coldStartRamp() ? Math.min(slots, ramp.limit()) : slots;
    }

    private void checkAndSend(SubmittedRequest submitted) {
        ForwardRequest request = submitted.request();
        long remainingMillis = submitted.deadlineMillis() - clock.nowMillis();
        Either<Refusal, Long> checked = remainingMillis <= 0
                ? Either.left(Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND, "deadline passed before the send"))
                : permission.check(request);
        if (checked.isLeft()) {
            removeInFlight(request.requestId());
            submitted.refuse(checked.getLeft());
            return;
        }
        metrics.count("supervisor.sends");
        latency.start(request.requestId());
        long sentNanos = System.nanoTime();
        targetClient
                .send(targetRequest(request, checked.get(), remainingMillis))
                .whenComplete((outcome, failure) -> complete(submitted, outcome, failure, sentNanos));
    }

    private void complete(
            SubmittedRequest submitted, Either<Refusal, TargetResponse> outcome, Throwable failure, long sentNanos) {
        String requestId = submitted.request().requestId();
        long micros = (System.nanoTime() - sentNanos) / 1_000;
        latency.finish(requestId);
        Either<Refusal, TargetResponse> result = failure == null
                ? outcome
                : Either.left(Refusal.of(ErrorKind.TARGET_LOST, "send failed: " + failure.getMessage()));
        boolean closeNow;
        synchronized (lock) {
            inFlight.remove(requestId);
            recordOutcome(submitted, result, micros);
            closeNow = closing && inFlight.isEmpty();
        }
        submitted.result().complete(result);
        if (closeNow) {
            targetClient.close();
        } else {
            sendQueued();
        }
    }

    private void recordOutcome(SubmittedRequest submitted, Either<Refusal, TargetResponse> result, long micros) {
        if (result.isRight()) {
            ramp.onSuccess(micros);
            queue.recordServiceTime(submitted.request().organisation(), micros / MICROS_PER_MILLI);
            return;
        }
        switch (result.getLeft().kind()) {
            case TARGET_SHED -> ramp.onShed();
            case TARGET_UNREACHABLE, TARGET_LOST -> ramp.onConnectionFailure();
            default -> metrics.count("supervisor.failed-sends");
        }
    }

    private void removeInFlight(String requestId) {
        synchronized (lock) {
            inFlight.remove(requestId);
        }
    }

    private static TargetRequest targetRequest(ForwardRequest request, long token, long remainingMillis) {
        return new TargetRequest(
                request.requestId(),
                request.organisation(),
                request.method(),
                request.uri(),
                request.headers(),
                request.body(),
                request.slice(),
                token,
                remainingMillis);
    }
}
