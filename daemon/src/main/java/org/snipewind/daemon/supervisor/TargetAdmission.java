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
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.clients.target.TargetEndpoint;
import org.snipewind.clients.target.TargetRequest;
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
import org.snipewind.router.metrics.RouterMetrics;

/**
 * Admits requests to one target: it holds them in a fair queue, keeps the number in flight within the target's slots
 * and ramp, and checks the right to send at the last moment. Queue, ramp and requests in flight are guarded by one
 * lock, which is never held across a send or a completion.
 */
final class TargetAdmission {

    private static final int REMEMBERED_REQUESTS = 10_000;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double USUAL_SERVICE_MILLIS = 5.0;

    private final String target;
    private final MillisClock clock;
    private final TargetEndpoint endpoint;
    private final SendPermission permission;
    private final BooleanSupplier open;
    private final RouterMetrics metrics;
    private final PolicySettings policy;
    private final Object lock = new Object();
    private final AdmissionQueue<SubmittedRequest> queue;
    private final ConcurrencyRamp ramp;
    private final LatencyTracker latency;
    private final Map<String, SubmittedRequest> inFlight = new HashMap<>();
    private final Map<Integer, Long> admittedBySlice = new HashMap<>();
    private final Map<String, Boolean> recentIds = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_REQUESTS;
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
            TargetEndpoint endpoint,
            SendPermission permission,
            BooleanSupplier open,
            ToIntFunction<String> weightOf,
            RouterMetrics metrics) {
        this.target = target;
        this.clock = clock;
        this.endpoint = endpoint;
        this.permission = permission;
        this.open = open;
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

    /** Queues a request; its result completes with an answer or a refusal. */
    void submit(SubmittedRequest admitted) {
        Optional<Refusal> refusal;
        List<QueuedRequest<SubmittedRequest>> evicted;
        synchronized (lock) {
            refusal = offer(admitted);
            evicted = queue.takeEvicted();
        }
        Refusal full = Refusal.of(ErrorKind.QUEUE_FULL, "the queue of " + target + " is full");
        evicted.forEach(ticket -> ticket.payload().refuse(full));
        if (refusal.isPresent()) {
            admitted.refuse(refusal.get());
        } else {
            pump();
        }
    }

    /** Sends waiting requests while the target has room. */
    void pump() {
        while (open.getAsBoolean()) {
            Optional<SubmittedRequest> next;
            synchronized (lock) {
                if (inFlight.size() >= limit()) {
                    return;
                }
                next = queue.poll().map(QueuedRequest::payload);
                next.ifPresent(admitted -> inFlight.put(admitted.request().requestId(), admitted));
            }
            if (next.isEmpty()) {
                return;
            }
            checkAndSend(next.get());
        }
    }

    /** Refuses requests whose deadline has passed while they waited. */
    void expire() {
        List<QueuedRequest<SubmittedRequest>> expired;
        synchronized (lock) {
            expired = queue.removeExpired();
        }
        Refusal refusal = Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND, "deadline passed in the queue of " + target);
        expired.forEach(ticket -> ticket.payload().refuse(refusal));
    }

    /** Refuses all waiting requests. */
    void drain(Refusal refusal) {
        List<QueuedRequest<SubmittedRequest>> waiting;
        synchronized (lock) {
            waiting = queue.removeAll();
        }
        waiting.forEach(ticket -> ticket.payload().refuse(refusal));
    }

    /** Refuses the waiting requests that the permission forbids, such as those of a withdrawn key. */
    void recheck() {
        Map<SubmittedRequest, Refusal> refused = new HashMap<>();
        synchronized (lock) {
            queue.removeIf(ticket -> {
                Either<Refusal, Long> checked =
                        permission.check(ticket.payload().request());
                boolean remove = checked.isLeft() && checked.getLeft().kind() != ErrorKind.LEASE_EXPIRED;
                if (remove) {
                    refused.put(ticket.payload(), checked.getLeft());
                }
                return remove;
            });
        }
        refused.forEach(SubmittedRequest::refuse);
    }

    /** Cancels a request, whether it waits or is in flight. */
    void cancel(String requestId) {
        Optional<QueuedRequest<SubmittedRequest>> waiting;
        boolean sent;
        synchronized (lock) {
            waiting = queue.remove(requestId);
            sent = inFlight.containsKey(requestId);
        }
        waiting.ifPresent(ticket ->
                ticket.payload().refuse(Refusal.of(ErrorKind.CANCELLED, "cancelled while it waited for " + target)));
        if (sent) {
            endpoint.cancel(requestId);
        }
    }

    /** Closes the connection to the target once nothing is in flight, so that no answer is cut. */
    void closeWhenIdle() {
        boolean idle;
        synchronized (lock) {
            closing = true;
            idle = inFlight.isEmpty();
        }
        if (idle) {
            endpoint.close();
        }
    }

    void noteIncarnation(String incarnation) {
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
                    .filter(admitted -> admitted.request().slice().isPresent()
                            && !slices.contains(admitted.request().slice().getAsInt()))
                    .count();
        }
    }

    /** Takes the counts of admitted requests by slice since the last call. */
    Map<Integer, Long> takeLoad() {
        synchronized (lock) {
            Map<Integer, Long> load = new HashMap<>(admittedBySlice);
            admittedBySlice.clear();
            return load;
        }
    }

    LoadAnswer load(boolean available) {
        synchronized (lock) {
            return new LoadAnswer(
                    target, available, inFlight.size(), queue.size(), limit(), latency.recentLatencyMicros());
        }
    }

    boolean isSlow() {
        return latency.isSlow();
    }

    private Optional<Refusal> offer(SubmittedRequest admitted) {
        ForwardRequest request = admitted.request();
        if (recentIds.putIfAbsent(request.requestId(), Boolean.TRUE) != null) {
            return Optional.of(Refusal.of(ErrorKind.DUPLICATE_REQUEST, "request id was received before"));
        }
        request.slice().ifPresent(slice -> admittedBySlice.merge(slice, 1L, Long::sum));
        // Without fair queueing all requests share one queue in order of arrival.
        String queueName = policy.fairQueueing() ? request.organisation() : "";
        QueuedRequest<SubmittedRequest> ticket = new QueuedRequest<>(
                request.requestId(),
                queueName,
                policy.fairQueueing() && admitted.urgent(),
                admitted.deadlineMillis(),
                request.body().length,
                admitted);
        return queue.offer(ticket, limit(), serviceMillis());
    }

    private double serviceMillis() {
        long micros = latency.recentLatencyMicros();
        return micros == 0 ? USUAL_SERVICE_MILLIS : micros / MICROS_PER_MILLI;
    }

    private int limit() {
        return policy.coldStartRamp() ? Math.min(slots, ramp.limit()) : slots;
    }

    private void checkAndSend(SubmittedRequest admitted) {
        ForwardRequest request = admitted.request();
        long remaining = admitted.deadlineMillis() - clock.nowMillis();
        Either<Refusal, Long> checked = remaining <= 0
                ? Either.left(Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND, "deadline passed before the send"))
                : permission.check(request);
        if (checked.isLeft()) {
            release(request.requestId());
            admitted.refuse(checked.getLeft());
            return;
        }
        metrics.count("supervisor.sends");
        latency.start(request.requestId());
        long sentNanos = System.nanoTime();
        endpoint.send(targetRequest(request, checked.get(), remaining))
                .whenComplete((outcome, failure) -> complete(admitted, outcome, failure, sentNanos));
    }

    private void complete(
            SubmittedRequest admitted, Either<Refusal, TargetAnswer> outcome, Throwable failure, long sentNanos) {
        String requestId = admitted.request().requestId();
        long micros = (System.nanoTime() - sentNanos) / 1_000;
        latency.finish(requestId);
        Either<Refusal, TargetAnswer> result = failure == null
                ? outcome
                : Either.left(Refusal.of(ErrorKind.TARGET_LOST, "send failed: " + failure.getMessage()));
        boolean lastOne;
        synchronized (lock) {
            inFlight.remove(requestId);
            observe(admitted, result, micros);
            lastOne = closing && inFlight.isEmpty();
        }
        admitted.result().complete(result);
        if (lastOne) {
            endpoint.close();
        } else {
            pump();
        }
    }

    private void observe(SubmittedRequest admitted, Either<Refusal, TargetAnswer> result, long micros) {
        if (result.isRight()) {
            ramp.onSuccess(micros);
            queue.recordServiceTime(admitted.request().organisation(), micros / MICROS_PER_MILLI);
            return;
        }
        switch (result.getLeft().kind()) {
            case TARGET_SHED -> ramp.onShed();
            case TARGET_UNREACHABLE, TARGET_LOST -> ramp.onConnectionFailure();
            default -> metrics.count("supervisor.failed-sends");
        }
    }

    private void release(String requestId) {
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
