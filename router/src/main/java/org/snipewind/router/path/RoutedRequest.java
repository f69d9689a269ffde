package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.port.RequestHeaders;
import org.snipewind.router.state.FleetView;

/**
 * A request on its way: checked against the configuration and the limits, sent to one target or, where it may be
 * repeated, to a further one, and answered exactly once. Belongs to its worker's loop.
 */
final class RoutedRequest implements OrganisationRateLimiter.Decision {

    /** Longest wait for keys that are on their way to a new holder; moves mostly take less than half of it. */
    private static final long OWNER_WAIT_MILLIS = 400;

    /** Part of the remaining time for which a request may wait for tokens; the rest is for the work itself. */
    private static final double TOKEN_WAIT_PART = 1.0 / 3;

    private static final long START_RETRY_MILLIS = 500;

    /** A target that refused a keyed request is asked again after this time, as no other target may run it. */
    private static final long SAME_TARGET_MILLIS = 15;

    /** Sends to the owner of a key, which counts as one target, before the caller is told to come back. */
    private static final int MAX_SENDS_TO_OWNER = 4;

    /** Part of the latency objective after which an idempotent request is also sent to a second target. */
    private static final double HEDGE_PART = 0.6;

    private final Worker worker;
    private final RoutingContext context;
    private final CallerRequest request;
    private final Responder responder;
    private final long arrivedMillis;
    private final List<Attempt> active = new ArrayList<>();
    private final Set<String> tried = new HashSet<>();
    private final List<Future<?>> timers = new ArrayList<>();
    private RequestHeaders headers;
    private Route route;
    private Pool pool;
    private Optional<Organisation> organisation = Optional.empty();
    private long finalMillis;
    private long ownerWaitUntilMillis = -1;
    private int attempts;
    private boolean mayHaveRun;
    private boolean done;

    RoutedRequest(Worker worker, CallerRequest request, Responder responder) {
        this.worker = worker;
        this.context = worker.context();
        this.request = request;
        this.responder = responder;
        this.arrivedMillis = context.clock().nowMillis();
    }

    Worker worker() {
        return worker;
    }

    CallerRequest request() {
        return request;
    }

    boolean isIdempotent() {
        return route.idempotent();
    }

    Optional<String> organisationName() {
        return organisation.map(Organisation::name);
    }

    Optional<String> requestId() {
        return headers.requestId();
    }

    long remainingMillis() {
        return finalMillis - context.clock().nowMillis();
    }

    /** Ends the work if the caller has left. */
    boolean isWanted() {
        if (!done && !responder.isCallerPresent()) {
            cancel();
        }
        return !done;
    }

    /** Tells whether a further attempt is allowed, apart from the budget. */
    boolean mayRepeat() {
        int allowed = pool.keyed() ? Math.max(MAX_SENDS_TO_OWNER, route.maxAttempts()) : route.maxAttempts();
        return attempts < allowed && remainingMillis() > 0;
    }

    void start() {
        headers = context.headerCodec().readRequest(request.headers());
        if (worker.isOverloaded()) {
            refuse(ErrorKind.DAEMON_REQUESTS_LIMIT, START_RETRY_MILLIS, "the loop is late");
            return;
        }
        FleetView view = context.tracker().view();
        if (view.configuration().isEmpty()) {
            refuse(ErrorKind.NOT_READY, START_RETRY_MILLIS, "no configuration");
            return;
        }
        RoutingConfiguration configuration = view.configuration().get();
        Optional<Route> found = configuration.route(request.headers().get("Host", ""), request.path());
        if (found.isEmpty()) {
            refuse(ErrorKind.ROUTE_UNKNOWN, 0, "version=" + configuration.version());
            return;
        }
        route = found.get();
        organisation = headers.organisationKey().flatMap(configuration::organisationOf);
        boolean keyNeeded = !route.anonymous() && !configuration.organisations().isEmpty();
        if (keyNeeded && organisation.isEmpty()) {
            refuse(ErrorKind.KEY_REJECTED, 0, "version=" + configuration.version());
            return;
        }
        pool = configuration
                .pool(route.poolFor(ThreadLocalRandom.current().nextDouble()))
                .orElse(null);
        if (pool == null) {
            refuse(ErrorKind.POOL_UNAVAILABLE, TargetRouting.POOL_RETRY_MILLIS, "pool is not configured");
            return;
        }
        if (pool.keyed() && headers.shardKey().isEmpty()) {
            refuse(ErrorKind.REQUEST_KEY_MISSING, 0, "pool=" + pool.name());
            return;
        }
        long allowed = Math.min(route.timeoutMillis(), headers.remainingMillis().orElse(Long.MAX_VALUE));
        finalMillis = arrivedMillis + allowed;
        schedule(this::expire, allowed);
        Optional<Organisation> limited = organisation.filter(Organisation::isLimited);
        if (limited.isPresent()) {
            context.rateLimiter().admit(limited.get(), this);
        } else {
            admittedOnLoop();
        }
    }

    @Override
    public void admitted() {
        worker.run(this::admittedOnLoop);
    }

    @Override
    public void refused(boolean overLimit, long retryAfterMillis) {
        worker.run(() -> refuse(
                overLimit ? ErrorKind.RATE_EXCEEDED : ErrorKind.BUDGET_UNAVAILABLE,
                retryAfterMillis,
                "organisation=" + organisationName().orElse("none")));
    }

    @Override
    public long patienceMillis() {
        return (long) (remainingMillis() * TOKEN_WAIT_PART);
    }

    private void admittedOnLoop() {
        if (done) {
            return;
        }
        if (pool.keyed()) {
            context.sharedState().countKey(pool.name(), headers.shardKey().getAsInt());
        }
        route();
    }

    /** Chooses where to send the request next; does nothing while it is at a target already. */
    void route() {
        if (done || !active.isEmpty()) {
            return;
        }
        routeOnce();
    }

    /** Sends the request to the target that its pool has for it now, or ends it or lets it wait for one. */
    private void routeOnce() {
        Either<TargetRouting.Unrouted, TargetState> found = pool.keyed()
                ? worker.routing().toOwner(pool, headers.shardKey().getAsInt())
                : worker.routing().toPool(pool, tried, !route.idempotent());
        found.peek(this::send).peekLeft(this::notRouted);
    }

    private void notRouted(TargetRouting.Unrouted unrouted) {
        if (unrouted.ownerMayCome()) {
            waitForOwner(unrouted);
        } else {
            endWithout(unrouted.kind(), unrouted.retryAfterMillis(), unrouted.inputs());
        }
    }

    private void waitForOwner(TargetRouting.Unrouted unrouted) {
        long now = context.clock().nowMillis();
        if (ownerWaitUntilMillis < 0) {
            // Half of the time is kept for the work itself.
            ownerWaitUntilMillis = now + Math.min(OWNER_WAIT_MILLIS, remainingMillis() / 2);
            schedule(this::endOwnerWait, ownerWaitUntilMillis - now);
        }
        if (now >= ownerWaitUntilMillis) {
            endWithout(unrouted.kind(), unrouted.retryAfterMillis(), unrouted.inputs());
        } else {
            worker.waitForOwner(this);
        }
    }

    private void endOwnerWait() {
        if (worker.isWaiting(this)) {
            worker.stopWaiting(this);
            route();
        }
    }

    private void send(TargetState target) {
        if (remainingMillis() <= 0) {
            expire();
            return;
        }
        attempts++;
        tried.add(target.registration().incarnation());
        if (attempts == 1) {
            context.sharedState().countFirst(pool.name());
            scheduleHedge();
        }
        Attempt attempt = new Attempt(this, target);
        active.add(attempt);
        attempt.start();
    }

    private void scheduleHedge() {
        long delay = (long) (route.latencyObjectiveMillis() * HEDGE_PART);
        if (route.idempotent() && !pool.keyed() && route.maxAttempts() > 1 && delay < remainingMillis()) {
            schedule(this::hedge, delay);
        }
    }

    private void hedge() {
        if (!done && active.size() == 1 && attempts < route.maxAttempts() && takeRepeat("hedge")) {
            routeOnce();
        }
    }

    private boolean takeRepeat(String reason) {
        if (!context.sharedState().tryRepeat(pool.name())) {
            context.metrics().count("retries.refused");
            return false;
        }
        context.metrics().countRetry(reason);
        context.log()
                .write(
                        RouterEvent.REQUEST_REPEATED,
                        () -> identity() + " reason=" + reason + " attempts=" + attempts + " remaining="
                                + remainingMillis() + "ms");
        return true;
    }

    /** Takes an answer that settles the request. */
    void answered(Attempt attempt, BufferedResponse answer) {
        if (pool.keyed()) {
            context.sharedState().countAnswer(attempt.target().registration().incarnation(), attempt.elapsedMillis());
        }
        if (finish()) {
            context.metrics()
                    .recordRequest(TimeUnit.MILLISECONDS.toNanos(context.clock().nowMillis() - arrivedMillis));
            responder.deliver(answer);
        }
    }

    /**
     * Takes the failure of an attempt.
     *
     * @param attempt the attempt
     * @param kind how it failed; tells whether the request may have run
     * @param arrived whether the request may have reached the target
     */
    void failed(Attempt attempt, ErrorKind kind, boolean arrived, String detail) {
        active.remove(attempt);
        mayHaveRun |= kind.execution() != Execution.NOT_RUN;
        if (done || !active.isEmpty()) {
            return;
        }
        boolean repeatable = !mayHaveRun || route.idempotent();
        if (!arrived) {
            // A target that was never reached does not count against the limit of attempts.
            attempts--;
        }
        // The owner of a key may run the request as soon as a slot is free; no other target can.
        long retryMillis =
                pool.keyed() ? (long) attempt.target().meanResponseMillis() : TargetRouting.POOL_RETRY_MILLIS;
        if (!repeatable || !mayRepeat()) {
            endWithout(kind, retryMillis, detail);
        } else if (arrived && !takeRepeat(kind.wireName())) {
            endWithout(kind, retryMillis, detail + " repeat-budget=empty");
        } else if (pool.keyed()) {
            schedule(this::route, SAME_TARGET_MILLIS);
        } else {
            route();
        }
    }

    /** Ends without an answer of a target, unless another attempt is still in progress. */
    private void endWithout(ErrorKind kind, long retryAfterMillis, String detail) {
        if (!active.isEmpty()) {
            return;
        }
        boolean promisesNotRun = kind.execution() == Execution.NOT_RUN;
        refuse(mayHaveRun && promisesNotRun ? ErrorKind.TARGET_LOST : kind, retryAfterMillis, detail);
    }

    private void expire() {
        if (done) {
            return;
        }
        mayHaveRun |= active.stream().anyMatch(Attempt::isSent);
        active.forEach(Attempt::abort);
        active.clear();
        refuse(
                mayHaveRun ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.OVERLOADED,
                TargetRouting.POOL_RETRY_MILLIS,
                "time is up after " + (context.clock().nowMillis() - arrivedMillis) + "ms attempts=" + attempts);
    }

    /** Ends the work for a caller that left. */
    void cancel() {
        if (done) {
            return;
        }
        context.metrics().count("callers.left");
        context.log()
                .write(
                        RouterEvent.CALLER_LEFT,
                        () -> identity() + " after=" + (context.clock().nowMillis() - arrivedMillis) + "ms attempts="
                                + attempts);
        finish();
    }

    private void refuse(ErrorKind kind, long retryAfterMillis, String detail) {
        if (!finish()) {
            return;
        }
        context.metrics().countRefusal(kind);
        RouterEvent event =
                kind.execution() == Execution.NOT_RUN ? RouterEvent.REQUEST_REFUSED : RouterEvent.REQUEST_FAILED;
        context.log()
                .write(
                        event,
                        () -> identity() + " kind=" + kind.wireName() + " status=" + kind.status() + " " + detail);
        responder.refuse(kind, headers.requestId(), retryAfterMillis);
    }

    private String identity() {
        return "request=" + headers.requestId().orElse("none") + " route=" + (route == null ? "none" : route.name())
                + " pool=" + (pool == null ? "none" : pool.name());
    }

    /** Ends timers and attempts; tells whether the request was still open. */
    private boolean finish() {
        if (done) {
            return false;
        }
        done = true;
        worker.stopWaiting(this);
        timers.forEach(timer -> timer.cancel(false));
        active.forEach(Attempt::abort);
        active.clear();
        worker.ended();
        return true;
    }

    private void schedule(Runnable task, long delayMillis) {
        timers.add(worker.loop().schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS));
    }
}
