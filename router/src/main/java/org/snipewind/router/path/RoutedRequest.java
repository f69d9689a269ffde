package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.snipewind.coordination.admission.QueueAllowance;
import org.snipewind.coordination.admission.ReturnWindow;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.target.SpilloverRequest;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.port.RequestHeaders;

/**
 * A caller's request in progress: checks it against the configuration and the rate limits, sends it to a target,
 * retries or hedges it where that is allowed, and responds to the caller exactly once. Confined to its worker's event
 * loop.
 */
final class RoutedRequest implements OrganisationRateLimiter.AdmissionListener {

    /** Fraction of the remaining time for which a request may wait for a token; the rest is for processing it. */
    private static final double TOKEN_WAIT_FRACTION = 1.0 / 3;

    /** Delay before a failed keyed request is sent to its owner again, since no other target may run it. */
    private static final long OWNER_RETRY_DELAY_MILLIS = 15;

    /**
     * Attempts at the owner of a key before the caller is told to retry; the attempt limit of the route applies if it
     * is higher. The attempts go to one target only.
     */
    private static final int MAX_ATTEMPTS_AT_OWNER = 4;

    private final Worker worker;
    private final RoutingContext context;
    private final CallerRequest request;
    private final Responder responder;
    private final long arrivedMillis;
    private final List<Attempt> activeAttempts = new ArrayList<>();
    private final Set<String> triedIncarnations = new HashSet<>();
    private final UsedConnections usedConnections = new UsedConnections();
    private final List<Future<?>> timers = new ArrayList<>();
    private RequestHeaders headers;
    private Route route;
    private Pool pool;
    private Optional<SecondAttempt> secondAttempt = Optional.empty();
    private Optional<Organisation> organisation = Optional.empty();
    private RequestAdmission admission;
    private RoomWait roomWait;
    private Optional<BufferedResponse> errorResponse = Optional.empty();
    private long deadlineMillis;
    private final OwnerWait ownerWait;
    private final RequestRecorder recorder;
    private Optional<String> unpaidRetryReason = Optional.empty();
    private int attempts;
    private boolean mayHaveRun;
    private boolean done;

    RoutedRequest(Worker worker, CallerRequest request, Responder responder) {
        this.worker = worker;
        this.context = worker.context();
        this.request = request;
        this.responder = responder;
        this.ownerWait = new OwnerWait(worker, this);
        this.recorder = new RequestRecorder(context);
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
        return deadlineMillis - context.clock().nowMillis();
    }

    int connectionLimit() {
        return TargetResolver.connectionLimit(pool, context.tracker().view());
    }

    UsedConnections usedConnections() {
        return usedConnections;
    }

    /** Cancels the request if the caller has disconnected; returns whether the request is still in progress. */
    boolean checkCallerPresent() {
        if (!done && !responder.isCallerPresent()) {
            cancel();
        }
        return !done;
    }

    /** Returns whether the attempt limit and the deadline allow another attempt, regardless of the retry budget. */
    boolean mayRetry() {
        int allowed = pool.keyed() ? Math.max(MAX_ATTEMPTS_AT_OWNER, route.maxAttempts()) : route.maxAttempts();
        return attempts < allowed && remainingMillis() > 0;
    }

    /** Checks the request against the configuration and the overload limit, then asks for its admission. */
    void start() {
        headers = context.headerCodec().readRequest(request.headers());
        recorder.setRequestId(headers.requestId().orElse("none"));
        if (worker.isOverloaded()) {
            refuse(
                    ErrorKind.DAEMON_REQUESTS_LIMIT,
                    RequestClassifier.NOT_READY_RETRY_AFTER_MILLIS,
                    "event loop is overloaded");
            return;
        }
        worker.classifier()
                .classify(request, headers)
                .peek(this::admit)
                .peekLeft(refusal -> refuse(refusal.kind(), refusal.retryAfterMillis(), refusal.detail()));
    }

    private void admit(RequestClassifier.Classification classification) {
        recorder.setClassification(classification);
        route = classification.route();
        pool = classification.pool();
        secondAttempt = Optional.of(new SecondAttempt(this, route, pool));
        organisation = classification.organisation();
        long allowedMillis = classification.allowedMillis(headers);
        deadlineMillis = arrivedMillis + allowedMillis;
        if (!context.sharedState().mayStart(allowedMillis)) {
            refuse(
                    ErrorKind.SHUTTING_DOWN,
                    ReturnWindow.limit(TargetResolver.POOL_RETRY_AFTER_MILLIS, allowedMillis),
                    "allowed=" + allowedMillis + "ms");
            return;
        }
        admission = new RequestAdmission(context, classification, headers.shardKey(), arrivedMillis, allowedMillis);
        roomWait = new RoomWait(worker, this, admission, pool.name());
        schedule(this::onDeadline, allowedMillis);
        Optional<Organisation> limitedOrganisation = organisation.filter(Organisation::isLimited);
        if (limitedOrganisation.isPresent()) {
            context.rateLimiter().admit(limitedOrganisation.get(), this);
        } else {
            onAdmitted();
        }
    }

    @Override
    public void admitted() {
        worker.runOnLoop(this::onAdmitted);
    }

    @Override
    public void refused(boolean overLimit, long retryAfterMillis) {
        worker.runOnLoop(() -> refuse(
                overLimit ? ErrorKind.RATE_EXCEEDED : ErrorKind.BUDGET_UNAVAILABLE,
                retryAfterMillis,
                "organisation=" + organisationName().orElse("none")));
    }

    @Override
    public long maxTokenWaitMillis() {
        return maxTokenWaitMillis(remainingMillis());
    }

    /** Returns how long a request with the given remaining time may wait for a token. */
    static long maxTokenWaitMillis(long remainingMillis) {
        return (long) (remainingMillis * TOKEN_WAIT_FRACTION);
    }

    private void onAdmitted() {
        if (done) {
            return;
        }
        if (pool.keyed()) {
            context.sharedState().recordKey(pool.name(), headers.shardKey().getAsInt());
        }
        admission.onOffered();
        worker.capacityQueue().tryAheadOf(pool.name(), admission.order());
        routeIfNoneActive();
    }

    /** Selects a target and sends the request, unless an attempt is in progress. */
    void routeIfNoneActive() {
        if (done || !activeAttempts.isEmpty()) {
            return;
        }
        selectTargetAndSend();
    }

    /** Sends the request to the selected target; without a target, refuses it or waits for the owner of its key. */
    void selectTargetAndSend() {
        selectTarget().peek(this::send).peekLeft(this::handleNoTarget);
    }

    Either<NoTarget, TargetState> selectTarget() {
        QueueAllowance allowance = admission.allowance();
        return pool.keyed()
                ? worker.targetResolver().resolveOwner(pool, headers.shardKey().getAsInt(), allowance)
                : worker.targetResolver()
                        .selectFromPool(pool, triedIncarnations, !route.idempotent(), allowance, spilloverRequest());
    }

    private SpilloverRequest spilloverRequest() {
        long elapsedMillis = context.clock().nowMillis() - arrivedMillis;
        return SpilloverRequest.of(
                pool, route, elapsedMillis, remainingMillis(), request.body().length(), attempts > 0);
    }

    /** Returns the best target for a second attempt, empty if none is free and responds at its usual speed. */
    Optional<TargetState> selectForSecondAttempt() {
        return worker.targetResolver().selectForSecondAttempt(pool, triedIncarnations, admission.allowance());
    }

    /** Returns whether one attempt is in progress, has no response yet, and another one is within the limit. */
    boolean isAwaitingOneResponse() {
        // A response that has begun to arrive is ahead of that of any other target.
        return !done
                && activeAttempts.size() == 1
                && activeAttempts.get(0).mayBeHedged()
                && attempts < route.maxAttempts();
    }

    /** Has the request wait for the owner of its key or for room at a target, or refuses it. */
    void handleNoTarget(NoTarget noTarget) {
        if (activeAttempts.isEmpty() && !waitForOwner(noTarget) && !waitForRoom(noTarget)) {
            refuseWithoutTarget(noTarget);
        }
    }

    private boolean waitForOwner(NoTarget noTarget) {
        OptionalLong leastWaitMillis = noTarget.ownerExpectedMillis();
        return leastWaitMillis.isPresent() && ownerWait.begin(noTarget.kind(), leastWaitMillis.getAsLong());
    }

    private boolean waitForRoom(NoTarget noTarget) {
        return roomWait.begin(
                noTarget, attempts == 0 ? arrivedMillis : context.clock().nowMillis());
    }

    void refuseWithoutTarget(NoTarget noTarget) {
        refuseIfNoneActive(noTarget.kind(), () -> admission.returnAfterMillis(noTarget), noTarget.detail());
    }

    void send(TargetState target) {
        if (remainingMillis() <= 0) {
            onDeadline();
            return;
        }
        Optional<String> retryReason = unpaidRetryReason;
        unpaidRetryReason = Optional.empty();
        if (retryReason.isPresent() && !tryAcquireRetry(retryReason.get())) {
            refuseAfter(target, ErrorKind.OVERLOADED, "target=" + target.incarnation() + " repeat-budget=empty");
            return;
        }
        prepareAttempt(target).start();
    }

    /** Registers an attempt that has not been started yet. */
    Attempt prepareAttempt(TargetState target) {
        attempts++;
        triedIncarnations.add(target.incarnation());
        Attempt attempt = new Attempt(this, target, route);
        if (attempts == 1) {
            context.sharedState().recordFirstAttempt(pool.name());
            secondAttempt.ifPresent(planned -> planned.schedule(attempt));
        }
        activeAttempts.add(attempt);
        return attempt;
    }

    boolean tryAcquireRetry(String reason) {
        if (!context.sharedState().tryAcquireRetry(pool.name())) {
            context.metrics().count("retries.refused");
            return false;
        }
        recorder.retried(reason, attempts, remainingMillis());
        return true;
    }

    /**
     * Passes the response of an attempt to the caller, unless the request has finished.
     *
     * @param attempt the attempt
     * @param response the response
     * @param occupiedMillis time for which the request occupied a slot of the target
     */
    void attemptSucceeded(Attempt attempt, BufferedResponse response, double occupiedMillis) {
        if (pool.keyed()) {
            context.sharedState().recordServiceTime(attempt.target().incarnation(), occupiedMillis);
        }
        admission.onServed(attempt.elapsedMillis());
        roomWait.onServed();
        if (!tryFinish(Optional.of(attempt))) {
            response.memory().release();
        } else {
            dropErrorResponse();
            context.metrics()
                    .recordRequest(TimeUnit.MILLISECONDS.toNanos(context.clock().nowMillis() - arrivedMillis));
            responder.respond(response);
        }
        worker.capacityQueue().onResponse(pool.name());
    }

    /** Retries the request after a target's error response, which goes to the caller if no other attempt succeeds. */
    void attemptReturnedError(Attempt attempt, BufferedResponse response, String detail) {
        dropErrorResponse();
        errorResponse = Optional.of(response);
        attemptFailed(attempt, ErrorKind.TARGET_ERROR, true, detail);
    }

    private void dropErrorResponse() {
        errorResponse.ifPresent(response -> response.memory().release());
        errorResponse = Optional.empty();
    }

    /**
     * Retries the request after a failed attempt or refuses it.
     *
     * @param attempt the failed attempt
     * @param kind cause of the failure, which also tells whether the request may have run
     * @param possiblyReceived whether the request may have reached the target
     * @param detail outcome of the attempt, for the log
     */
    void attemptFailed(Attempt attempt, ErrorKind kind, boolean possiblyReceived, String detail) {
        activeAttempts.remove(attempt);
        secondAttempt.ifPresent(planned -> planned.onFailed(attempt));
        mayHaveRun |= kind.execution() != Execution.NOT_RUN;
        if (done || !activeAttempts.isEmpty()) {
            return;
        }
        boolean retryable = !mayHaveRun || route.idempotent();
        if (!possiblyReceived) {
            // Attempts that never reached a target do not count against the attempt limit.
            attempts--;
        }
        if (kind == ErrorKind.TARGET_SHED) {
            admission.onLackOfRoom();
        }
        if (!retryable || !mayRetry()) {
            refuseAfter(attempt.target(), kind, detail);
            return;
        }
        Optional<NoTarget> ownerRefusal = pool.keyed() ? findOwnerRefusal() : Optional.empty();
        if (ownerRefusal.isPresent()) {
            // A retry now would use up the budget and be refused by the owner.
            unpaidRetryReason = possiblyReceived ? Optional.of(kind.wireName()) : Optional.empty();
            NoTarget noTarget = ownerRefusal.get().withDetail(detail);
            if (!waitForRoom(noTarget)) {
                refuseWithoutTarget(noTarget);
            }
        } else if (possiblyReceived && !tryAcquireRetry(kind.wireName())) {
            refuseAfter(attempt.target(), kind, detail + " repeat-budget=empty");
        } else if (pool.keyed()) {
            schedule(this::routeIfNoneActive, OWNER_RETRY_DELAY_MILLIS);
        } else {
            routeIfNoneActive();
        }
    }

    private void refuseAfter(TargetState target, ErrorKind kind, String detail) {
        refuseIfNoneActive(kind, () -> admission.returnAfterMillis(target, kind), detail);
    }

    /** Returns why the owner of the key takes no requests now although it is in service, empty if it does. */
    private Optional<NoTarget> findOwnerRefusal() {
        return worker.targetResolver()
                .findOwner(pool, headers.shardKey().getAsInt(), admission.allowance())
                .fold(Optional::of, owner -> Optional.<NoTarget>empty())
                .filter(NoTarget::isRefusedByOwner);
    }

    /**
     * Refuses the request unless another attempt is still in progress. If an attempt may have run the request, the
     * error kind given to the caller never claims that it did not run.
     */
    private void refuseIfNoneActive(ErrorKind kind, LongSupplier retryAfterMillis, String detail) {
        if (!activeAttempts.isEmpty()) {
            return;
        }
        boolean claimsNotRun = kind.execution() == Execution.NOT_RUN;
        refuse(mayHaveRun && claimsNotRun ? ErrorKind.TARGET_LOST : kind, retryAfterMillis.getAsLong(), detail);
    }

    private void onDeadline() {
        end(ErrorKind.OVERLOADED);
    }

    /** Ends the request with the given kind, or as one of unknown outcome if it was sent to a target. */
    void end(ErrorKind kindIfNotSent) {
        if (done) {
            return;
        }
        mayHaveRun |= activeAttempts.stream().anyMatch(Attempt::isSent);
        activeAttempts.forEach(Attempt::abort);
        activeAttempts.clear();
        refuse(
                mayHaveRun ? ErrorKind.DEADLINE_AFTER_SEND : kindIfNotSent,
                ReturnWindow.limit(TargetResolver.POOL_RETRY_AFTER_MILLIS, remainingMillis()),
                "ended after " + (context.clock().nowMillis() - arrivedMillis) + "ms attempts=" + attempts);
    }

    /** Cancels the request because its caller has disconnected. */
    void cancel() {
        if (done) {
            return;
        }
        recorder.callerLeft(context.clock().nowMillis() - arrivedMillis, attempts);
        tryFinish(Optional.empty());
        dropErrorResponse();
    }

    private void refuse(ErrorKind kind, long retryAfterMillis, String detail) {
        if (!tryFinish(Optional.empty())) {
            return;
        }
        if (errorResponse.isPresent()) {
            context.metrics().count("answers.errors-delivered");
            responder.respond(errorResponse.get());
            return;
        }
        recorder.refused(kind, detail);
        responder.refuse(kind, headers.requestId(), retryAfterMillis);
    }

    /** Cancels timers and attempts; returns whether the request was still in progress. */
    private boolean tryFinish(Optional<Attempt> winner) {
        if (done) {
            return false;
        }
        done = true;
        secondAttempt.ifPresent(planned -> planned.onFinished(winner));
        worker.stopWaiting(this);
        if (roomWait != null) {
            roomWait.cancel();
        }
        timers.forEach(timer -> timer.cancel(false));
        activeAttempts.forEach(Attempt::abort);
        activeAttempts.clear();
        request.body().release();
        worker.requestFinished();
        return true;
    }

    /** Runs a task after a delay unless the request ends before. */
    void schedule(Runnable task, long delayMillis) {
        timers.add(worker.loop().schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS));
    }
}
