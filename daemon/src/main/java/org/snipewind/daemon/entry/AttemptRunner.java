package org.snipewind.daemon.entry;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.admission.LatencyTracker;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.SliceOwnership;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.coordination.retry.RetryBudget;
import org.snipewind.coordination.retry.RetryPlan;
import org.snipewind.coordination.retry.RetryPolicy;
import org.snipewind.coordination.selection.HedgePolicy;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.router.metrics.ProcessMetrics;

/** Runs the attempts of a request: finds a destination, sends the request, hedges it, and retries it where allowed. */
final class AttemptRunner {

    // A parked request waits for the record with its new owner. Without a new record it is resumed after this time.
    private static final long MAX_PARK_MILLIS = 100;
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;
    // Allows an organisation that sends few requests a retry as well.
    private static final int MIN_RETRIES_PER_SECOND = 5;
    private static final double HEDGES_PER_FIRST_ATTEMPT = 0.03;

    /** Kinds that indicate an outdated destination; no target ran the request. */
    private static final Set<ErrorKind> REROUTABLE_KINDS = EnumSet.of(
            ErrorKind.OWNER_UNAVAILABLE,
            ErrorKind.OWNER_UNREACHABLE,
            ErrorKind.NOT_SUPERVISOR,
            ErrorKind.LEASE_EXPIRED,
            ErrorKind.FENCED);

    private final MillisClock clock;
    private final RecordCache records;
    private final UndividedPoolSelector selector;
    private final SupervisorClient supervisorClient;
    private final PolicySettings policy;
    private final ScheduledExecutorService workers;
    private final ProcessMetrics metrics;
    private final Queue<ParkedRequest> parked = new ConcurrentLinkedQueue<>();
    private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
    private final Map<String, LatencyTracker> latencyTrackers = new ConcurrentHashMap<>();
    private final Map<String, HedgePolicy> hedgePolicies = new ConcurrentHashMap<>();

    private record ParkedRequest(RoutedRequest request, long untilMillis) {}

    AttemptRunner(
            MillisClock clock,
            RecordCache records,
            UndividedPoolSelector selector,
            SupervisorClient supervisorClient,
            PolicySettings policy,
            ScheduledExecutorService workers,
            ProcessMetrics metrics) {
        this.clock = clock;
        this.records = records;
        this.selector = selector;
        this.supervisorClient = supervisorClient;
        this.policy = policy;
        this.workers = workers;
        this.metrics = metrics;
    }

    /** Starts the first attempt of a request. */
    void start(RoutedRequest request) {
        retryBudget(request.organisation()).recordFirstAttempt();
        hedgePolicy(request).recordFirstAttempt();
        startAttempt(request, Optional.empty());
    }

    /** Cancels a request and its attempts in flight; a parked request ends when it is resumed. */
    void cancel(RoutedRequest request) {
        request.cancel();
        request.inFlight().forEach(supervisorClient::cancel);
    }

    /** Resumes all parked requests, since a changed record may name their owner. */
    void resumeAllParked() {
        List<ParkedRequest> resumed = new ArrayList<>();
        for (ParkedRequest next = parked.poll(); next != null; next = parked.poll()) {
            resumed.add(next);
        }
        resumed.forEach(waiting -> startAttempt(waiting.request(), Optional.empty()));
    }

    /** Resumes the parked requests whose time to wait has passed. */
    void resumeDueParked() {
        long now = clock.nowMillis();
        List<ParkedRequest> due = new ArrayList<>();
        parked.removeIf(waiting -> waiting.untilMillis() <= now && due.add(waiting));
        due.forEach(waiting -> startAttempt(waiting.request(), Optional.empty()));
    }

    int parkedCount() {
        return parked.size();
    }

    private void startAttempt(RoutedRequest request, Optional<Refusal> lastRefusal) {
        if (request.result().isDone()) {
            return;
        }
        finishOnException(request, () -> prepareAttempt(request, lastRefusal));
    }

    private void finishOnException(RoutedRequest request, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            // The caller must get an outcome even if the router itself fails.
            metrics.count("entry.faults");
            finish(request, Either.left(Refusal.of(ErrorKind.INTERNAL, "the router failed: " + e.getMessage())));
        }
    }

    private void prepareAttempt(RoutedRequest request, Optional<Refusal> lastRefusal) {
        long remaining = request.deadlineMillis() - clock.nowMillis();
        if (request.isCancelled()) {
            finish(request, Either.left(Refusal.of(ErrorKind.CANCELLED, "the caller went away")));
            return;
        }
        if (remaining <= 0) {
            finish(request, Either.left(lastRefusal.orElseGet(() -> noDestinationRefusal(request))));
            return;
        }
        if (request.slice().isPresent()) {
            sendToDestination(request, remaining);
            return;
        }
        CompletableFuture<Void> refresh =
                selector.refreshLoads(configuration(), request.route().pool());
        if (refresh.isDone()) {
            sendToDestination(request, remaining);
        } else {
            refresh.whenComplete((ignored, failure) -> finishOnException(
                    request,
                    () -> sendToDestination(request, Math.max(1, request.deadlineMillis() - clock.nowMillis()))));
        }
    }

    private void sendToDestination(RoutedRequest request, long remaining) {
        Optional<Destination> destination = findDestination(request);
        if (destination.isEmpty()) {
            park(request);
            return;
        }
        send(request, destination.get(), remaining, false);
        scheduleHedge(request);
    }

    private static Refusal noDestinationRefusal(RoutedRequest request) {
        return request.slice().isPresent()
                ? Refusal.of(ErrorKind.OWNER_UNAVAILABLE, "the key had no owner before the deadline")
                : Refusal.of(ErrorKind.POOL_UNAVAILABLE, "the pool had no target in service before the deadline");
    }

    private Optional<Destination> findDestination(RoutedRequest request) {
        FleetConfiguration configuration = configuration();
        String pool = request.route().pool();
        if (!configuration.pools().containsKey(pool)) {
            return Optional.empty();
        }
        if (request.slice().isEmpty()) {
            Set<String> tried = request.triedTargets();
            Optional<Destination> untried = selector.choose(configuration, pool, tried);
            return untried.isPresent() || tried.isEmpty() ? untried : selector.choose(configuration, pool, Set.of());
        }
        SliceTable table = records.table(pool);
        SliceOwnership ownership = table.slices().get(request.slice().getAsInt());
        return ownership
                .owner()
                .filter(ownership::isServableBy)
                .flatMap(target -> records.fleet()
                        .holder(RoleNames.target(target))
                        .map(member -> new Destination(target, member, request.slice(), table.version())));
    }

    private FleetConfiguration configuration() {
        return records.configuration().orElseThrow().configuration();
    }

    private void park(RoutedRequest request) {
        metrics.count("entry.parked-requests");
        parked.add(new ParkedRequest(request, Math.min(request.deadlineMillis(), clock.nowMillis() + MAX_PARK_MILLIS)));
    }

    private void send(RoutedRequest request, Destination destination, long remainingMillis, boolean hedge) {
        ForwardRequest frame = request.nextAttempt(destination, remainingMillis);
        LatencyTracker latency = latencyTracker(request);
        latency.start(frame.requestId());
        supervisorClient.send(frame, destination).thenAccept(outcome -> {
            latency.finish(frame.requestId());
            request.inFlight().remove(frame.requestId());
            handleOutcome(request, outcome, hedge);
        });
    }

    private void handleOutcome(RoutedRequest request, Either<Refusal, TargetResponse> outcome, boolean hedge) {
        if (outcome.isRight()) {
            finish(request, outcome);
            if (hedge) {
                metrics.count("entry.hedges-won");
            }
            return;
        }
        if (outcome.getLeft().kind().execution() != Execution.NOT_RUN) {
            request.recordUnknownAttempt();
        }
        if (!request.inFlight().isEmpty()) {
            // The other attempt of a hedged request is still in flight and determines the outcome.
            return;
        }
        Refusal refusal = outcome.getLeft();
        if (REROUTABLE_KINDS.contains(refusal.kind())) {
            reroute(request, refusal);
            return;
        }
        retryOrFinish(request, refusal);
    }

    /** Retries at a new destination. No target ran the request, so this does not use the retry budget. */
    private void reroute(RoutedRequest request, Refusal refusal) {
        if (request.deadlineMillis() - clock.nowMillis() <= 0 || request.isCancelled()) {
            finish(request, Either.left(refusal));
            return;
        }
        metrics.countRetry(refusal.kind().wireName());
        request.recordFailedAttempt();
        if (request.slice().isEmpty() && request.failedAttempts() == 1) {
            startAttempt(request, Optional.of(refusal));
        } else {
            park(request);
        }
    }

    private void retryOrFinish(RoutedRequest request, Refusal refusal) {
        request.recordFailedAttempt();
        long remaining = request.deadlineMillis() - clock.nowMillis();
        Optional<RetryPlan> plan = RetryPolicy.decide(
                refusal, request.isIdempotent(), request.failedAttempts(), remaining, ThreadLocalRandom.current());
        if (plan.isEmpty() || request.isCancelled()) {
            finish(request, Either.left(refusal));
        } else if (!retryBudget(request.organisation()).tryAcquire()) {
            metrics.count("entry.retry-budget-exhausted");
            finish(request, Either.left(refusal));
        } else {
            metrics.countRetry(plan.get().reason());
            workers.schedule(
                    () -> startAttempt(request, Optional.of(refusal)),
                    plan.get().delayMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void scheduleHedge(RoutedRequest request) {
        if (!policy.hedging() || !request.isIdempotent() || request.slice().isPresent()) {
            return;
        }
        OptionalLong delay = hedgePolicy(request).delayMicros(latencyTracker(request));
        if (delay.isPresent()) {
            workers.schedule(() -> sendHedge(request), delay.getAsLong(), TimeUnit.MICROSECONDS);
        }
    }

    private void sendHedge(RoutedRequest request) {
        long remaining = request.deadlineMillis() - clock.nowMillis();
        if (request.result().isDone()
                || request.isCancelled()
                || request.inFlight().size() != 1
                || remaining <= 0) {
            return;
        }
        FleetConfiguration configuration = configuration();
        Optional<Destination> other =
                selector.choose(configuration, request.route().pool(), request.triedTargets());
        if (other.isPresent() && hedgePolicy(request).tryAcquire()) {
            metrics.count("entry.hedges");
            send(request, other.get(), remaining, true);
        }
    }

    private void finish(RoutedRequest request, Either<Refusal, TargetResponse> outcome) {
        Either<Refusal, TargetResponse> reported = outcome;
        if (outcome.isLeft() && outcome.getLeft().kind().execution() == Execution.NOT_RUN && mayHaveRun(request)) {
            reported = Either.left(Refusal.of(ErrorKind.DEADLINE_AFTER_SEND, "an earlier attempt may have run"));
        }
        if (request.result().complete(reported)) {
            request.inFlight().forEach(supervisorClient::cancel);
        }
    }

    /**
     * Returns whether an earlier or concurrent attempt may have run. An idempotent request may have had an attempt with
     * an unknown outcome before its last attempt was refused.
     */
    private static boolean mayHaveRun(RoutedRequest request) {
        return request.hasUnknownAttempt() || !request.inFlight().isEmpty();
    }

    private RetryBudget retryBudget(String organisation) {
        return retryBudgets.computeIfAbsent(
                organisation, name -> new RetryBudget(clock, RETRIES_PER_FIRST_ATTEMPT, MIN_RETRIES_PER_SECOND));
    }

    private HedgePolicy hedgePolicy(RoutedRequest request) {
        return hedgePolicies.computeIfAbsent(request.route().pool(), pool -> new HedgePolicy(HEDGES_PER_FIRST_ATTEMPT));
    }

    private LatencyTracker latencyTracker(RoutedRequest request) {
        return latencyTrackers.computeIfAbsent(request.route().pool(), pool -> new LatencyTracker(clock));
    }
}
