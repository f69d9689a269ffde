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
import org.snipewind.router.metrics.RouterMetrics;

/** Obtains a token for each request of this entry daemon from the keeper of its budget. */
public final class TokenClient {

    // A request above the rate waits this long for a token; longer waits would only grow the queue of an organisation
    // that sends more than its rate.
    private static final long LONGEST_RATE_WAIT_MILLIS = 500;
    private static final long CALL_TIMEOUT_MILLIS = 300;
    private static final long RETRY_MILLIS = 20;

    private final String memberId;
    private final PolicySettings policy;
    private final MillisClock clock;
    private final RecordCache records;
    private final TokenIssuers keepers;
    private final PeerConnections peers;
    private final ScheduledExecutorService workers;
    private final RouterMetrics metrics;
    private final Map<String, Account> accounts = new ConcurrentHashMap<>();
    private final Map<String, TokenBucket> fixedShares = new ConcurrentHashMap<>();

    private record Waiter(long arrivedMillis, long deadlineMillis, CompletableFuture<Optional<Refusal>> result) {}

    /** One budget at this entry daemon, guarded by its own monitor. */
    private static final class Account {
        private final String budget;
        private final TokenCache tokens;
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double rate;
        private boolean keeperAnswers = true;
        private boolean retryScheduled;

        Account(String budget, MillisClock clock) {
            this.budget = budget;
            this.tokens = new TokenCache(clock);
        }
    }

    /**
     * Creates a client.
     *
     * @param memberId id of this daemon
     * @param policy switches for measurements
     * @param clock the clock
     * @param records records of this daemon
     * @param keepers budgets that this daemon keeps itself
     * @param peers connections to peers
     * @param workers runs retries
     * @param metrics metrics of this daemon
     */
    public TokenClient(
            String memberId,
            PolicySettings policy,
            MillisClock clock,
            RecordCache records,
            TokenIssuers keepers,
            PeerConnections peers,
            ScheduledExecutorService workers,
            RouterMetrics metrics) {
        this.memberId = memberId;
        this.policy = policy;
        this.clock = clock;
        this.records = records;
        this.keepers = keepers;
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
     * @return empty once the request may go on, or the refusal
     */
    public CompletableFuture<Optional<Refusal>> acquire(String budget, BudgetSettings settings, long deadlineMillis) {
        if (!policy.sharedBudget()) {
            return CompletableFuture.completedFuture(takeFixedShare(budget, settings));
        }
        Account account = accounts.computeIfAbsent(budget, name -> new Account(name, clock));
        CompletableFuture<Optional<Refusal>> result = new CompletableFuture<>();
        synchronized (account) {
            account.rate = settings.rate();
            account.tokens.configure(settings.rate(), settings.burst());
            if (account.waiters.isEmpty() && account.tokens.tryAcquire()) {
                result.complete(Optional.empty());
            } else {
                account.waiters.add(new Waiter(clock.nowMillis(), deadlineMillis, result));
            }
        }
        request(account);
        return result;
    }

    /** Refuses the requests that waited for a token as long as they may. */
    public void expire() {
        long now = clock.nowMillis();
        for (Account account : accounts.values()) {
            List<Waiter> expired = new ArrayList<>();
            boolean rateExceeded;
            long retryAfter;
            synchronized (account) {
                rateExceeded = account.keeperAnswers;
                account.waiters.removeIf(waiter -> isExpired(account, waiter, now) && expired.add(waiter));
                retryAfter = Math.round(1_000 * (account.waiters.size() + 1) / Math.max(account.rate, 1e-3));
            }
            Refusal refusal = rateExceeded
                    ? new Refusal(
                            ErrorKind.RATE_EXCEEDED,
                            "the rate of " + account.budget + " leaves no token in time",
                            Optional.of(retryAfter))
                    : Refusal.of(ErrorKind.BUDGET_UNAVAILABLE, "the keeper of the budget does not answer");
            expired.forEach(waiter -> waiter.result().complete(Optional.of(refusal)));
            request(account);
        }
    }

    /** The baseline of the measurements: an equal share of rate and burst on each daemon. */
    private Optional<Refusal> takeFixedShare(String budget, BudgetSettings settings) {
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

    private static boolean isExpired(Account account, Waiter waiter, long now) {
        return now >= waiter.deadlineMillis()
                || (account.keeperAnswers && now - waiter.arrivedMillis() >= LONGEST_RATE_WAIT_MILLIS);
    }

    private void request(Account account) {
        int wanted;
        long call;
        synchronized (account) {
            if (clock.nowMillis() < account.tokens.retryNotBeforeMillis()) {
                scheduleRetry(account);
                return;
            }
            wanted = account.tokens.tokensToRequest(account.waiters.size());
            if (wanted <= 0) {
                return;
            }
            call = account.tokens.onRequestSent(clock.nowMillis());
        }
        metrics.count("budget.calls");
        call(new BudgetRequest(account.budget, wanted))
                .whenComplete((answer, failure) -> settle(account, call, answer, failure));
    }

    private CompletableFuture<PeerMessage> call(BudgetRequest request) {
        Optional<Member> holder = records.fleet().holder(RoleNames.budget(request.budget()));
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(new BudgetGrant(false, 0, 0));
        }
        if (holder.get().id().equals(memberId)) {
            return CompletableFuture.completedFuture(keepers.issue(request));
        }
        return peers.call(holder.get().peerAddress(), request, CALL_TIMEOUT_MILLIS);
    }

    private void settle(Account account, long call, PeerMessage answer, Throwable failure) {
        List<Waiter> served = new ArrayList<>();
        synchronized (account) {
            account.keeperAnswers = failure == null && answer instanceof BudgetGrant grant && grant.holder();
            if (account.keeperAnswers) {
                BudgetGrant grant = (BudgetGrant) answer;
                account.tokens.onGranted(call, grant.tokens(), grant.retryAfterMillis());
                while (!account.waiters.isEmpty() && account.tokens.tryAcquire()) {
                    served.add(account.waiters.poll());
                }
                if (!account.waiters.isEmpty() && grant.tokens() == 0) {
                    scheduleRetry(account, Math.max(1, Math.min(RETRY_MILLIS, grant.retryAfterMillis())));
                }
            } else {
                account.tokens.onRequestFailed();
                metrics.count("budget.failed-calls");
                scheduleRetry(account);
            }
        }
        served.forEach(waiter -> waiter.result().complete(Optional.empty()));
        synchronized (account) {
            if (account.retryScheduled) {
                return;
            }
        }
        request(account);
    }

    private void scheduleRetry(Account account) {
        long wait = account.tokens.retryNotBeforeMillis() - clock.nowMillis();
        scheduleRetry(account, Math.max(RETRY_MILLIS, wait));
    }

    private void scheduleRetry(Account account, long delayMillis) {
        if (account.waiters.isEmpty() || account.retryScheduled) {
            return;
        }
        account.retryScheduled = true;
        workers.schedule(
                () -> {
                    synchronized (account) {
                        account.retryScheduled = false;
                    }
                    request(account);
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }
}
