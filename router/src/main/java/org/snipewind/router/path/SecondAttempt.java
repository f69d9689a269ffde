package org.snipewind.router.path;

import java.util.Optional;
import java.util.OptionalDouble;
import org.snipewind.coordination.hedging.SecondAttemptPolicy;
import org.snipewind.coordination.hedging.SecondAttemptRefusal;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RouteKind;
import org.snipewind.coordination.target.TargetState;

/**
 * Sends an idempotent request of an undivided pool to a second target if the first takes longer than usual. Confined to
 * the worker's event loop.
 */
final class SecondAttempt {

    /** Largest body that is sent twice; larger ones would fill the link of a small instance. */
    private static final int MAX_BODY_BYTES = 32 * 1024;

    private static final String METRIC_PREFIX = "second-attempts.";

    private final RoutedRequest request;
    private final RoutingContext context;
    private final Route route;
    private final Pool pool;
    /** Decides by the route's response times; empty if a fixed delay applies. */
    private final Optional<SecondAttemptPolicy> policy;

    private Optional<Attempt> first = Optional.empty();
    private Optional<Attempt> second = Optional.empty();
    private boolean counted;
    private boolean due;

    SecondAttempt(RoutedRequest request, Route route, Pool pool) {
        this.request = request;
        this.context = request.worker().context();
        this.route = route;
        this.pool = pool;
        this.policy = pool.keyed() ? Optional.empty() : context.sharedState().secondAttemptPolicy(pool.name());
    }

    /** Schedules the second attempt of a request whose first attempt is about to start. */
    void schedule(Attempt attempt) {
        if (!counted) {
            counted = true;
            policy.ifPresent(SecondAttemptPolicy::recordFirstAttempt);
        }
        if (!route.idempotent() || pool.keyed() || route.maxAttempts() <= 1) {
            return;
        }
        if (policy.isEmpty()) {
            scheduleBeforeDeadline(this::sendAfterFixedDelay, (long)
                    (route.latencyObjectiveMillis() * SecondAttemptPolicy.FALLBACK_DELAY_FRACTION));
        } else if (route.kind() != RouteKind.LARGE_RESPONSE
                && request.request().body().length() <= MAX_BODY_BYTES) {
            first = Optional.of(attempt);
            long now = context.clock().nowMillis();
            double expectedMillis = attempt.target().expectedResponseMillis(now);
            scheduleBeforeDeadline(
                    () -> onDue(attempt, policy.get()),
                    policy.get().delayMillis(route.name(), route.latencyObjectiveMillis(), expectedMillis, now));
        }
    }

    private void scheduleBeforeDeadline(Runnable task, long delayMillis) {
        if (delayMillis < request.remainingMillis()) {
            request.schedule(task, delayMillis);
        }
    }

    private void sendAfterFixedDelay() {
        if (request.isAwaitingOneResponse() && request.tryAcquireRetry("hedge")) {
            request.selectTargetAndSend();
        }
    }

    private void onDue(Attempt attempt, SecondAttemptPolicy decision) {
        if (!isFirst(attempt)) {
            return;
        }
        long now = context.clock().nowMillis();
        due = true;
        decision.recordOverdue(true, now);
        if (!request.isAwaitingOneResponse()) {
            return;
        }
        Optional<TargetState> target = request.selectForSecondAttempt();
        OptionalDouble expectedMillis = target.isPresent()
                ? OptionalDouble.of(target.get().expectedResponseMillis(now))
                : OptionalDouble.empty();
        Optional<SecondAttemptRefusal> refusal = decision.acquire(
                expectedMillis, request.remainingMillis(), now, () -> request.tryAcquireRetry("hedge"));
        if (refusal.isPresent()) {
            context.metrics().count(METRIC_PREFIX + "refused-" + refusal.get().wireName());
            return;
        }
        context.metrics().count(METRIC_PREFIX + "sent");
        // Known before the start, since an attempt that fails at once reports it from there.
        Attempt attemptAtSecond = request.prepareAttempt(target.get());
        second = Optional.of(attemptAtSecond);
        attemptAtSecond.start();
    }

    /** Records that an attempt ended without a usable response. */
    void onFailed(Attempt attempt) {
        if (isFirst(attempt)) {
            first = Optional.empty();
        } else if (isSecond(attempt)) {
            countSecond(attempt, "lost");
        }
    }

    /** Records the response times and the outcome of a request that has just ended, before its attempts are ended. */
    void onFinished(Optional<Attempt> winner) {
        long now = context.clock().nowMillis();
        // A request that ends without a response says how long it took at least only if it was overdue.
        if (policy.isPresent() && first.isPresent() && (winner.isPresent() || due)) {
            policy.get().recordResponseTime(route.name(), first.get().elapsedMillis(), now);
            if (!due) {
                policy.get().recordOverdue(false, now);
            }
        }
        second.ifPresent(
                attempt -> countSecond(attempt, winner.filter(this::isSecond).isPresent() ? "won" : "lost"));
        first = Optional.empty();
    }

    private void countSecond(Attempt attempt, String outcome) {
        context.metrics().count(METRIC_PREFIX + outcome);
        context.metrics().count(METRIC_PREFIX + "slot-millis", attempt.elapsedMillis());
        second = Optional.empty();
    }

    private boolean isFirst(Attempt attempt) {
        return first.filter(known -> known == attempt).isPresent();
    }

    private boolean isSecond(Attempt attempt) {
        return second.filter(known -> known == attempt).isPresent();
    }
}
