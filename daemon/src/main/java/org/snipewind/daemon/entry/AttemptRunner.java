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
import org.snipewind.clients.target.TargetAnswer;
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
import org.snipewind.router.metrics.RouterMetrics;

/** Runs the attempts of a request: chooses a destination, sends, hedges, and retries what may be retried. */
final class AttemptRunner {

    // A request whose owner is being moved waits for new records; it looks again after this time even without any.
    private static final long PARK_MILLIS = 100;
    private static final double RETRY_SHARE = 0.1;
    // An organisation with few requests may still retry now and then.
    private static final int RETRIES_PER_SECOND = 5;
    private static final double HEDGE_SHARE = 0.03;

    /** Kinds that say that the route to the owner is out of date; nothing was sent to a target. */
    private static final Set<ErrorKind> REROUTE = EnumSet.of(
            ErrorKind.OWNER_UNAVAILABLE,
            ErrorKind.OWNER_UNREACHABLE,
            ErrorKind.NOT_SUPERVISOR,
            ErrorKind.LEASE_EXPIRED,
            ErrorKind.FENCED);

    private final MillisClock clock;
    private final RecordCache records;
    private final UndividedPoolSelector board;
    private final SupervisorClient supervisors;
    private final PolicySettings policy;
    private final ScheduledExecutorService workers;
    private final RouterMetrics metrics;
    private final Queue<Parked> parked = new ConcurrentLinkedQueue<>();
    private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
    private final Map<String, LatencyTracker> poolLatency = new ConcurrentHashMap<>();
    private final Map<String, HedgePolicy> hedges = new ConcurrentHashMap<>();

    private record Parked(RoutedRequest request, long untilMillis) {}

    AttemptRunner(
            MillisClock clock,
            RecordCache records,
            UndividedPoolSelector board,
            SupervisorClient supervisors,
            PolicySettings policy,
            ScheduledExecutorService workers,
            RouterMetrics metrics) {
        this.clock = clock;
        this.records = records;
        this.board = board;
        this.supervisors = supervisors;
        this.policy = policy;
        this.workers = workers;
        this.metrics = metrics;
    }

    /** Starts the first attempt. */
    void start(RoutedRequest request) {
        retryBudget(request.organisation()).recordFirstAttempt();
        hedges(request).recordFirstAttempt();
        attempt(request, Optional.empty());
    }

    /** Cancels a request wherever it is. */
    void cancel(RoutedRequest request) {
        request.cancel();
        request.inFlight().forEach(supervisors::cancel);
    }

    /** Lets parked requests look for their owner again, after a record changed. */
    void resumeParked() {
        List<Parked> all = new ArrayList<>();
        for (Parked next = parked.poll(); next != null; next = parked.poll()) {
            all.add(next);
        }
        all.forEach(waiting -> attempt(waiting.request(), Optional.empty()));
    }

    /** Lets the parked requests whose time has come look again. */
    void resumeDue() {
        long now = clock.nowMillis();
        List<Parked> due = new ArrayList<>();
        parked.removeIf(waiting -> waiting.untilMillis() <= now && due.add(waiting));
        due.forEach(waiting -> attempt(waiting.request(), Optional.empty()));
    }

    int parkedCount() {
        return parked.size();
    }

    private void attempt(RoutedRequest request, Optional<Refusal> lastRefusal) {
        if (request.result().isDone()) {
            return;
        }
        guarded(request, () -> attemptNow(request, lastRefusal));
    }

    private void guarded(RoutedRequest request, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            // The caller must get an outcome also after a fault of the router itself.
            metrics.count("entry.faults");
            finish(request, Either.left(Refusal.of(ErrorKind.INTERNAL, "the router failed: " + e.getMessage())));
        }
    }

    private void attemptNow(RoutedRequest request, Optional<Refusal> lastRefusal) {
        long remaining = request.deadlineMillis() - clock.nowMillis();
        if (request.isCancelled()) {
            finish(request, Either.left(Refusal.of(ErrorKind.CANCELLED, "the caller went away")));
            return;
        }
        if (remaining <= 0) {
            finish(request, Either.left(lastRefusal.orElseGet(() -> noDestination(request))));
            return;
        }
        if (request.slice().isPresent()) {
            sendToDestination(request, remaining);
            return;
        }
        CompletableFuture<Void> views =
                board.refresh(configuration(), request.route().pool());
        if (views.isDone()) {
            sendToDestination(request, remaining);
        } else {
            views.whenComplete((ignored, failure) -> guarded(
                    request,
                    () -> sendToDestination(request, Math.max(1, request.deadlineMillis() - clock.nowMillis()))));
        }
    }

    private void sendToDestination(RoutedRequest request, long remaining) {
        Optional<Destination> destination = destination(request);
        if (destination.isEmpty()) {
            park(request);
            return;
        }
        send(request, destination.get(), remaining, false);
        scheduleHedge(request);
    }

    private static Refusal noDestination(RoutedRequest request) {
        return request.slice().isPresent()
                ? Refusal.of(ErrorKind.OWNER_UNAVAILABLE, "the key had no owner before the deadline")
                : Refusal.of(ErrorKind.POOL_UNAVAILABLE, "the pool had no target in service before the deadline");
    }

    private Optional<Destination> destination(RoutedRequest request) {
        FleetConfiguration configuration = configuration();
        String pool = request.route().pool();
        if (!configuration.pools().containsKey(pool)) {
            return Optional.empty();
        }
        if (request.slice().isEmpty()) {
            Set<String> tried = request.triedTargets();
            Optional<Destination> fresh = board.choose(configuration, pool, tried);
            return fresh.isPresent() || tried.isEmpty() ? fresh : board.choose(configuration, pool, Set.of());
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
        parked.add(new Parked(request, Math.min(request.deadlineMillis(), clock.nowMillis() + PARK_MILLIS)));
    }

    private void send(RoutedRequest request, Destination destination, long remainingMillis, boolean hedge) {
        ForwardRequest frame = request.nextAttempt(destination, remainingMillis);
        LatencyTracker latency = latency(request);
        latency.start(frame.requestId());
        supervisors.send(frame, destination).thenAccept(outcome -> {
            latency.finish(frame.requestId());
            request.inFlight().remove(frame.requestId());
            settle(request, outcome, hedge);
        });
    }

    private void settle(RoutedRequest request, Either<Refusal, TargetAnswer> outcome, boolean hedge) {
        if (outcome.isRight()) {
            finish(request, outcome);
            if (hedge) {
                metrics.count("entry.hedges-won");
            }
            return;
        }
        if (outcome.getLeft().kind().execution() != Execution.NOT_RUN) {
            request.noteUnknownAttempt();
        }
        if (!request.inFlight().isEmpty()) {
            // The other one of two hedged attempts still runs and decides.
            return;
        }
        Refusal refusal = outcome.getLeft();
        if (REROUTE.contains(refusal.kind())) {
            reroute(request, refusal);
            return;
        }
        retryOrFinish(request, refusal);
    }

    /** Waits for a new route; nothing was sent to a target, so this costs no retry budget. */
    private void reroute(RoutedRequest request, Refusal refusal) {
        if (request.deadlineMillis() - clock.nowMillis() <= 0 || request.isCancelled()) {
            finish(request, Either.left(refusal));
            return;
        }
        metrics.countRetry(refusal.kind().wireName());
        request.countFailedAttempt();
        if (request.slice().isEmpty() && request.failedAttempts() == 1) {
            attempt(request, Optional.of(refusal));
        } else {
            park(request);
        }
    }

    private void retryOrFinish(RoutedRequest request, Refusal refusal) {
        request.countFailedAttempt();
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
                    () -> attempt(request, Optional.of(refusal)), plan.get().delayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void scheduleHedge(RoutedRequest request) {
        if (!policy.hedging() || !request.isIdempotent() || request.slice().isPresent()) {
            return;
        }
        OptionalLong delay = hedges(request).delayMicros(latency(request));
        if (delay.isPresent()) {
            workers.schedule(() -> hedge(request), delay.getAsLong(), TimeUnit.MICROSECONDS);
        }
    }

    private void hedge(RoutedRequest request) {
        long remaining = request.deadlineMillis() - clock.nowMillis();
        if (request.result().isDone()
                || request.isCancelled()
                || request.inFlight().size() != 1
                || remaining <= 0) {
            return;
        }
        FleetConfiguration configuration = configuration();
        Optional<Destination> other =
                board.choose(configuration, request.route().pool(), request.triedTargets());
        if (other.isPresent() && hedges(request).tryAcquire()) {
            metrics.count("entry.hedges");
            send(request, other.get(), remaining, true);
        }
    }

    private void finish(RoutedRequest request, Either<Refusal, TargetAnswer> outcome) {
        Either<Refusal, TargetAnswer> told = outcome;
        if (outcome.isLeft() && outcome.getLeft().kind().execution() == Execution.NOT_RUN && isMaybeRun(request)) {
            told = Either.left(Refusal.of(ErrorKind.DEADLINE_AFTER_SEND, "an earlier attempt may have run"));
        }
        if (request.result().complete(told)) {
            request.inFlight().forEach(supervisors::cancel);
        }
    }

    /** An idempotent request may have run in an attempt whose outcome is unknown before it was refused in the last. */
    private static boolean isMaybeRun(RoutedRequest request) {
        return request.hasUnknownAttempt() || !request.inFlight().isEmpty();
    }

    private RetryBudget retryBudget(String organisation) {
        return retryBudgets.computeIfAbsent(
                organisation, name -> new RetryBudget(clock, RETRY_SHARE, RETRIES_PER_SECOND));
    }

    private HedgePolicy hedges(RoutedRequest request) {
        return hedges.computeIfAbsent(request.route().pool(), pool -> new HedgePolicy(HEDGE_SHARE));
    }

    private LatencyTracker latency(RoutedRequest request) {
        return poolLatency.computeIfAbsent(request.route().pool(), pool -> new LatencyTracker(clock));
    }
}
