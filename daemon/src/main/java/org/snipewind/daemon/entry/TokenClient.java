package org.snipewind.daemon.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.budget.TokenCache;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.router.metrics.ProcessMetrics;

/** Obtains a rate-limit token for each request that this entry daemon received, from the issuer of its budget. */
public final class TokenClient {

    // Limits the wait of a request above the rate for a token. A longer wait would only lengthen the queue of an
    // organisation that sends more than its rate.
    private static final long MAX_RATE_WAIT_MILLIS = 500;
    private static final long CALL_TIMEOUT_MILLIS = 300;
    private static final long RETRY_DELAY_MILLIS = 20;

    private final String memberId;
    private final PolicySettings policy;
    private final MillisClock clock;
    private final RecordCache records;
    private final TokenIssuers tokenIssuers;
    private final PeerConnections peers;
    private final ScheduledExecutorService workers;
    private final ProcessMetrics metrics;
    private final Map<String, BudgetState> budgetStates = new ConcurrentHashMap<>();
    private final Map<String, TokenBucket> fixedShares = new ConcurrentHashMap<>();

    private record Waiter(long arrivedAtMillis, long deadlineMillis, CompletableFuture<Optional<Refusal>> result) {}

    /** The state of one budget at this entry daemon, guarded by its own monitor. */
    private static final class BudgetState {
        private final String budget;
        private final TokenCache tokens;
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double ratePerSecond;
        private boolean issuerAvailable = true;
        private boolean retryScheduled;

        BudgetState(String budget, MillisClock clock) {
            this.budget = budget;
            this.tokens = new TokenCache(clock);
        }
    }

    /**
     * Creates a client.
     *
     * @param memberId id of this daemon
     * @param policy switches that replace a mechanism by its baseline
     * @param clock the clock
     * @param records records of this daemon
     * @param tokenIssuers budgets whose tokens this daemon issues itself
     * @param peers connections to peers
     * @param workers runs the retries of requests for tokens
     * @param metrics metrics of this daemon
     */
    public TokenClient(
            String memberId,
            PolicySettings policy,
            MillisClock clock,
            RecordCache records,
            TokenIssuers tokenIssuers,
            PeerConnections peers,
            ScheduledExecutorService workers,
            ProcessMetrics metrics) {
        this.memberId = memberId;
        this.policy = policy;
        this.clock = clock;
        this.records = records;
        this.tokenIssuers = tokenIssuers;
        this.peers = peers;
        this.workers = workers;
        this.metrics = metrics;
    }

    /**
     * Obtains one token.
     *
     * @param budget name of the budget
     * @param settings rate and burst of the budget
     * @param deadlineMillis deadline of the request on this daemon's clock
     * @return completes with empty when a token was obtained, or with the refusal; never fails
     */
    public CompletableFuture<Optional<Refusal>> acquire(String budget, BudgetSettings settings, long deadlineMillis) {
        if (!policy.sharedBudget()) {
            return CompletableFuture.completedFuture(acquireFromFixedShare(budget, settings));
        }
        BudgetState state = budgetStates.computeIfAbsent(budget, name -> new BudgetState(name, clock));
        CompletableFuture<Optional<Refusal>> result = new CompletableFuture<>();
        synchronized (state) {
            state.ratePerSecond = settings.rate();
            state.tokens.configure(settings.rate(), settings.burst());
            if (state.waiters.isEmpty() && state.tokens.tryAcquire()) {
                result.complete(Optional.empty());
            } else {
                state.waiters.add(new Waiter(clock.nowMillis(), deadlineMillis, result));
            }
        }
        requestTokens(state);
        return result;
    }

    /** Refuses the requests whose deadline or maximum wait for a token has passed. */
    public void refuseExpired() {
        long now = clock.nowMillis();
        for (BudgetState state : budgetStates.values()) {
            List<Waiter> expired = new ArrayList<>();
            boolean rateExceeded;
            long retryAfter;
            synchronized (state) {
                rateExceeded = state.issuerAvailable;
                state.waiters.removeIf(waiter -> isExpired(state, waiter, now) && expired.add(waiter));
                retryAfter = Math.round(1_000 * (state.waiters.size() + 1) / Math.max(state.ratePerSecond, 1e-3));
            }
            Refusal refusal = rateExceeded
                    ? new Refusal(
                            ErrorKind.RATE_EXCEEDED,
                            "the rate of " + state.budget + " leaves no token in time",
                            Optional.of(retryAfter))
                    : Refusal.of(ErrorKind.BUDGET_UNAVAILABLE, "the keeper of the budget does not answer");
            expired.forEach(waiter -> waiter.result().complete(Optional.of(refusal)));
            requestTokens(state);
        }
    }

    /** Takes a token from an equal share of rate and burst on each daemon, as a baseline for measurements. */
    private Optional<Refusal> acquireFromFixedShare(String budget, BudgetSettings settings) {
        int daemons = Math.max(1, records.fleet().members().size());
        TokenBucket bucket = fixedShares.computeIfAbsent(
                budget,
                name -> new TokenBucket(
                        clock, settings.rate() / daemons, Math.max(1.0, (double) settings.burst() / daemons), 0));
        synchronized (bucket) {
            return bucket.take(1) == 1
                    ? Optional.empty()
                    : Optional.of(Refusal.of(ErrorKind.RATE_EXCEEDED, "the share of this daemon is used up"));
        }
    }

    private static boolean isExpired(BudgetState state, Waiter waiter, long now) {
        return now >= waiter.deadlineMillis()
                || (state.issuerAvailable && now - waiter.arrivedAtMillis() >= MAX_RATE_WAIT_MILLIS);
    }

    private void requestTokens(BudgetState state) {
        int tokens;
        long requestNumber;
        synchronized (state) {
            if (clock.nowMillis() < state.tokens.retryNotBeforeMillis()) {
                scheduleRetry(state);
                return;
            }
            tokens = state.tokens.tokensToRequest(state.waiters.size());
            if (tokens <= 0) {
                return;
            }
            requestNumber = state.tokens.onRequestSent(clock.nowMillis());
        }
        metrics.count("budget.calls");
        callIssuer(new BudgetRequest(state.budget, tokens, state.tokens.requestedLifetimeMillis()))
                .whenComplete((response, failure) -> handleGrant(state, requestNumber, response, failure));
    }

    private CompletableFuture<PeerMessage> callIssuer(BudgetRequest request) {
        Optional<Member> holder = records.fleet().holder(RoleNames.budget(request.budget()));
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(new BudgetGrant(false, 0, 0));
        }
        if (holder.get().id().equals(memberId)) {
            return CompletableFuture.completedFuture(tokenIssuers.issue(request));
        }
        return peers.call(holder.get().peerAddress(), request, CALL_TIMEOUT_MILLIS);
    }

    private void handleGrant(BudgetState state, long requestNumber, PeerMessage response, Throwable failure) {
        List<Waiter> served = new ArrayList<>();
        synchronized (state) {
            state.issuerAvailable = failure == null && response instanceof BudgetGrant grant && grant.fromIssuer();
            if (state.issuerAvailable) {
                BudgetGrant grant = (BudgetGrant) response;
                state.tokens.onGranted(requestNumber, grant.tokens(), grant.retryAfterMillis());
                while (!state.waiters.isEmpty() && state.tokens.tryAcquire()) {
                    served.add(state.waiters.poll());
                }
                if (!state.waiters.isEmpty() && grant.tokens() == 0) {
                    scheduleRetry(state, Math.max(1, Math.min(RETRY_DELAY_MILLIS, grant.retryAfterMillis())));
                }
            } else {
                state.tokens.onRequestFailed();
                metrics.count("budget.failed-calls");
                scheduleRetry(state);
            }
        }
        served.forEach(waiter -> waiter.result().complete(Optional.empty()));
        synchronized (state) {
            if (state.retryScheduled) {
                return;
            }
        }
        requestTokens(state);
    }

    private void scheduleRetry(BudgetState state) {
        long wait = state.tokens.retryNotBeforeMillis() - clock.nowMillis();
        scheduleRetry(state, Math.max(RETRY_DELAY_MILLIS, wait));
    }

    private void scheduleRetry(BudgetState state, long delayMillis) {
        if (state.waiters.isEmpty() || state.retryScheduled) {
            return;
        }
        state.retryScheduled = true;
        workers.schedule(
                () -> {
                    synchronized (state) {
                        state.retryScheduled = false;
                    }
                    requestTokens(state);
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }
}
