package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipewind.coordination.budget.TokenCache;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.quota.FixedShare;
import org.snipewind.coordination.quota.QuotaSplit;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;

/**
 * Admits requests within the rate limits of organisations: with tokens from the token issuer, some of which are
 * prefetched, or from this instance's fixed share. Each organisation has its own lock; while it is held, only the locks
 * of that organisation's token cache and fixed share are taken.
 */
public final class OrganisationRateLimiter {

    /** Time after which callers should retry if the token issuer is unavailable. */
    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 150;

    /**
     * Longest absence of the token issuer for which requests wait. An election takes about half of this time, and
     * refusing requests meanwhile would make callers return on new connections to instances that are still starting.
     */
    private static final long MAX_ISSUER_ABSENCE_MILLIS = 800;

    /** Interval at which the token issuer is asked again while it is unavailable and requests wait. */
    private static final long ISSUER_CHECK_INTERVAL_MILLIS = 40;

    /** Receives the admission decision for one request, on any thread. */
    interface AdmissionListener {
        /** Called if the request is within the limit. */
        void admitted();

        /**
         * Called if the request is not admitted.
         *
         * @param overLimit true if the organisation exceeds its limit, false if the token issuer is unavailable
         * @param retryAfterMillis time after which the caller should retry
         */
        void refused(boolean overLimit, long retryAfterMillis);

        /**
         * Returns how long the request can wait for a token and still be served before its deadline.
         *
         * @return milliseconds from now
         */
        long maxTokenWaitMillis();
    }

    private record WaitingRequest(AdmissionListener listener, long waitDeadlineMillis) {}

    /** The rate limit of one organisation and the requests that wait for its tokens; guarded by its own monitor. */
    private static final class OrganisationState {
        private final TokenCache tokenCache;
        private final FixedShare fixedShare;
        private final Deque<WaitingRequest> waitingRequests = new ArrayDeque<>();
        private Optional<Long> issuerUnavailableSince = Optional.empty();
        private boolean checkScheduled;
        private long issuerAvailableAtMillis;

        OrganisationState(MillisClock clock, long startedAtMillis) {
            tokenCache = new TokenCache(clock, QuotaSplit.TOKEN_LIFETIME_MILLIS);
            fixedShare = new FixedShare(clock, startedAtMillis);
        }

        void configure(Organisation organisation, int fleetSize) {
            tokenCache.configure(
                    QuotaSplit.centralRatePerSecond(organisation, fleetSize),
                    QuotaSplit.centralBurst(organisation, fleetSize));
            fixedShare.configure(organisation, fleetSize);
        }

        /** Uses the fixed share before issued tokens, because no other instance can use what is left of it. */
        boolean tryAcquire() {
            return fixedShare.tryAcquire() || tokenCache.tryAcquire();
        }
    }

    private final FleetTracker tracker;
    private final MillisClock clock;
    private final EventLoop controlLoop;
    private final Function<BudgetRequest, CompletableFuture<BudgetGrant>> tokenIssuer;
    private final long startedAtMillis;
    private final Map<String, OrganisationState> stateByOrganisation = new ConcurrentHashMap<>();

    /**
     * Creates a rate limiter.
     *
     * @param tracker source of the fleet view
     * @param clock clock for token lifetimes and waiting times
     * @param controlLoop event loop on which tokens are requested
     * @param tokenIssuer requests tokens of an organisation
     */
    public OrganisationRateLimiter(
            FleetTracker tracker,
            MillisClock clock,
            EventLoop controlLoop,
            Function<BudgetRequest, CompletableFuture<BudgetGrant>> tokenIssuer) {
        this.tracker = tracker;
        this.clock = clock;
        this.controlLoop = controlLoop;
        this.tokenIssuer = tokenIssuer;
        this.startedAtMillis = clock.nowMillis();
    }

    /** Applies changed limits and a changed fleet size. */
    public void onViewChanged() {
        FleetView view = tracker.view();
        view.configuration()
                .ifPresent(configuration -> stateByOrganisation.forEach((name, state) -> configuration
                        .organisation(name)
                        .ifPresent(organisation -> state.configure(organisation, view.fleetSize()))));
    }

    /** Admits or refuses a request, either immediately or once tokens have arrived or can't be awaited any longer. */
    void admit(Organisation organisation, AdmissionListener listener) {
        OrganisationState state = stateByOrganisation.computeIfAbsent(organisation.name(), name -> {
            OrganisationState created = new OrganisationState(clock, startedAtMillis);
            created.configure(organisation, tracker.view().fleetSize());
            return created;
        });
        boolean admitted;
        synchronized (state) {
            admitted = state.waitingRequests.isEmpty() && state.tryAcquire();
            if (!admitted) {
                state.waitingRequests.addLast(
                        new WaitingRequest(listener, clock.nowMillis() + listener.maxTokenWaitMillis()));
            }
        }
        if (admitted) {
            listener.admitted();
        }
        requestTokens(organisation.name(), state);
    }

    /** Returns whether a request would be admitted at once; takes and requests no token. */
    boolean wouldAdmitNow(Organisation organisation) {
        OrganisationState state = stateByOrganisation.get(organisation.name());
        if (state == null) {
            return false;
        }
        synchronized (state) {
            return state.waitingRequests.isEmpty() && (state.fixedShare.hasToken() || state.tokenCache.hasToken());
        }
    }

    /** Requests tokens if requests wait for them or few cached tokens are left. */
    private void requestTokens(String organisation, OrganisationState state) {
        BudgetRequest request;
        long callNumber = 0;
        synchronized (state) {
            int tokenCount = state.tokenCache.tokensToRequest(state.waitingRequests.size());
            request = new BudgetRequest(organisation, tokenCount, state.tokenCache.requestedLifetimeMillis());
            if (tokenCount > 0) {
                callNumber = state.tokenCache.onRequestSent(clock.nowMillis());
            }
        }
        if (request.tokens() > 0) {
            long sentCallNumber = callNumber;
            controlLoop.execute(() -> tokenIssuer
                    .apply(request)
                    .whenComplete(
                            (grant, failure) -> onTokenResponse(organisation, state, sentCallNumber, grant, failure)));
        } else if (!handleUnavailableIssuer(organisation, state)) {
            refuseIfNoTokens(state);
        }
    }

    private void onTokenResponse(
            String organisation, OrganisationState state, long callNumber, BudgetGrant grant, Throwable failure) {
        boolean issuerAvailable = failure == null && grant.fromIssuer();
        synchronized (state) {
            if (issuerAvailable) {
                state.tokenCache.onGranted(callNumber, grant.tokens(), grant.retryAfterMillis());
                state.issuerUnavailableSince = Optional.empty();
            } else {
                state.tokenCache.onRequestFailed();
                long now = clock.nowMillis();
                state.issuerUnavailableSince = state.issuerUnavailableSince.or(() -> Optional.of(now));
                state.issuerAvailableAtMillis = failure == null ? now + grant.retryAfterMillis() : 0;
            }
        }
        admitWaiting(state);
        if (issuerAvailable) {
            requestTokens(organisation, state);
        } else {
            handleUnavailableIssuer(organisation, state);
        }
    }

    /**
     * Keeps requests waiting while the token issuer is unavailable for a short time, and refuses them otherwise.
     *
     * @return whether the token issuer is unavailable
     */
    private boolean handleUnavailableIssuer(String organisation, OrganisationState state) {
        boolean longAbsence;
        boolean scheduleCheck;
        long retryAfterMillis;
        synchronized (state) {
            if (state.issuerUnavailableSince.isEmpty()) {
                return false;
            }
            long now = clock.nowMillis();
            long untilAvailableMillis = state.issuerAvailableAtMillis - now;
            longAbsence = now - state.issuerUnavailableSince.get() > MAX_ISSUER_ABSENCE_MILLIS
                    || untilAvailableMillis > MAX_ISSUER_ABSENCE_MILLIS;
            retryAfterMillis = Math.max(UNAVAILABLE_RETRY_AFTER_MILLIS, untilAvailableMillis);
            scheduleCheck = !longAbsence && !state.waitingRequests.isEmpty() && !state.checkScheduled;
            state.checkScheduled |= scheduleCheck;
        }
        if (longAbsence) {
            refuseWaiting(state, Long.MAX_VALUE, false, retryAfterMillis);
        } else {
            refuseWaiting(state, clock.nowMillis(), false, retryAfterMillis);
        }
        if (scheduleCheck) {
            controlLoop.schedule(
                    () -> checkIssuer(organisation, state), ISSUER_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return true;
    }

    private void checkIssuer(String organisation, OrganisationState state) {
        synchronized (state) {
            state.checkScheduled = false;
        }
        admitWaiting(state);
        requestTokens(organisation, state);
    }

    private void admitWaiting(OrganisationState state) {
        while (true) {
            WaitingRequest next;
            synchronized (state) {
                if (state.waitingRequests.isEmpty() || !state.tryAcquire()) {
                    return;
                }
                next = state.waitingRequests.pollFirst();
            }
            next.listener().admitted();
        }
    }

    /** Refuses waiting requests while the token issuer has no tokens left, as waiting would only delay the refusal. */
    private void refuseIfNoTokens(OrganisationState state) {
        long untilRetryMillis = state.tokenCache.retryNotBeforeMillis() - clock.nowMillis();
        if (untilRetryMillis > 0) {
            refuseWaiting(state, Long.MAX_VALUE, true, untilRetryMillis);
        }
    }

    /** Refuses requests from the head of the queue up to the first one whose wait ends after the given time. */
    private void refuseWaiting(
            OrganisationState state, long latestWaitDeadlineMillis, boolean overLimit, long retryAfterMillis) {
        while (true) {
            WaitingRequest first;
            synchronized (state) {
                first = state.waitingRequests.peekFirst();
                if (first == null || first.waitDeadlineMillis() > latestWaitDeadlineMillis) {
                    return;
                }
                state.waitingRequests.removeFirst();
            }
            first.listener().refused(overLimit, retryAfterMillis);
        }
    }
}
