package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.snipewind.coordination.budget.TokenCache;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.quota.FixedShare;
import org.snipewind.coordination.quota.QuotaSplit;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;

/**
 * Admits requests within the organisations' rates: by tokens of the keeper, of which some are fetched in advance, or by
 * this instance's fixed part. Each organisation has its own lock, under which only those of its account and share are
 * taken.
 */
public final class OrganisationRateLimiter {

    /** A caller comes back after this time if there was nobody to issue tokens. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 150;

    /**
     * Requests wait for a keeper that is away for less than this time. An election takes about half of it, and each
     * refusal meanwhile would bring the caller back on a new connection to instances that are just starting.
     */
    private static final long KEEPER_ABSENCE_MILLIS = 800;

    /** Time between looks for a keeper while requests wait for one. */
    private static final long KEEPER_CHECK_MILLIS = 40;

    /** Gets the decision about a request, on any thread. */
    interface Decision {
        /** The request is within the limit. */
        void admitted();

        /**
         * The request can't be admitted.
         *
         * @param overLimit true if the organisation is over its limit, false if the keeper can't be reached
         * @param retryAfterMillis when to come back
         */
        void refused(boolean overLimit, long retryAfterMillis);

        /**
         * Tells how long the request can wait for tokens and still be served in time.
         *
         * @return milliseconds from now
         */
        long patienceMillis();
    }

    private record Waiting(Decision decision, long untilMillis) {}

    /** The state of one organisation. */
    private static final class Desk {
        private final TokenCache account;
        private final FixedShare share;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private Optional<Long> keeperAwaySince = Optional.empty();
        private boolean checkScheduled;
        private long keeperBackAtMillis;

        Desk(MillisClock clock, long startedAtMillis) {
            account = new TokenCache(clock, QuotaSplit.TOKEN_LIFETIME_MILLIS);
            share = new FixedShare(clock, startedAtMillis);
        }

        void configure(Organisation organisation, int fleetSize) {
            account.configure(
                    QuotaSplit.centralRatePerSecond(organisation, fleetSize),
                    QuotaSplit.centralBurst(organisation, fleetSize));
            share.configure(organisation, fleetSize);
        }

        /** The fixed part comes first: what is left of it can't be used elsewhere. */
        boolean tryUse() {
            return share.tryAcquire() || account.tryAcquire();
        }
    }

    private final FleetTracker tracker;
    private final MillisClock clock;
    private final EventLoop control;
    private final BiFunction<String, Integer, CompletableFuture<BudgetGrant>> keeper;
    private final long startedAtMillis;
    private final Map<String, Desk> desks = new ConcurrentHashMap<>();

    /**
     * Creates a desk.
     *
     * @param tracker the view of the fleet
     * @param clock the clock of the tokens
     * @param control the control loop, on which the keeper is asked
     * @param keeper asks the keeper for tokens of an organisation
     */
    public OrganisationRateLimiter(
            FleetTracker tracker,
            MillisClock clock,
            EventLoop control,
            BiFunction<String, Integer, CompletableFuture<BudgetGrant>> keeper) {
        this.tracker = tracker;
        this.clock = clock;
        this.control = control;
        this.keeper = keeper;
        this.startedAtMillis = clock.nowMillis();
    }

    /** Takes changed limits and fleet sizes into account. */
    public void viewChanged() {
        FleetView view = tracker.view();
        view.configuration()
                .ifPresent(configuration -> desks.forEach((name, desk) -> configuration
                        .organisation(name)
                        .ifPresent(organisation -> desk.configure(organisation, view.fleetSize()))));
    }

    /** Decides about a request, at once or as soon as the keeper has answered. */
    void admit(Organisation organisation, Decision decision) {
        Desk desk = desks.computeIfAbsent(organisation.name(), name -> {
            Desk created = new Desk(clock, startedAtMillis);
            created.configure(organisation, tracker.view().fleetSize());
            return created;
        });
        boolean admitted;
        synchronized (desk) {
            admitted = desk.waiting.isEmpty() && desk.tryUse();
            if (!admitted) {
                desk.waiting.addLast(new Waiting(decision, clock.nowMillis() + decision.patienceMillis()));
            }
        }
        if (admitted) {
            decision.admitted();
        }
        fetch(organisation.name(), desk);
    }

    /** Asks the keeper for tokens if requests wait or the tokens in hand run low. */
    private void fetch(String organisation, Desk desk) {
        int wanted;
        long call = 0;
        synchronized (desk) {
            wanted = desk.account.tokensToRequest(desk.waiting.size());
            if (wanted > 0) {
                call = desk.account.onRequestSent(clock.nowMillis());
            }
        }
        if (wanted > 0) {
            long number = call;
            control.execute(() -> keeper.apply(organisation, wanted)
                    .whenComplete((grant, failure) -> answered(organisation, desk, number, grant, failure)));
        } else if (!awaitKeeper(organisation, desk)) {
            refuseIfPaused(desk);
        }
    }

    private void answered(String organisation, Desk desk, long call, BudgetGrant grant, Throwable failure) {
        boolean known = failure == null && grant.holder();
        synchronized (desk) {
            if (known) {
                desk.account.onGranted(call, grant.tokens(), grant.retryAfterMillis());
                desk.keeperAwaySince = Optional.empty();
            } else {
                desk.account.onRequestFailed();
                long now = clock.nowMillis();
                desk.keeperAwaySince = desk.keeperAwaySince.or(() -> Optional.of(now));
                desk.keeperBackAtMillis = failure == null ? now + grant.retryAfterMillis() : 0;
            }
        }
        serveWaiting(desk);
        if (known) {
            fetch(organisation, desk);
        } else {
            awaitKeeper(organisation, desk);
        }
    }

    /** Lets requests wait while the keeper is away for a short time; tells whether it is away. */
    private boolean awaitKeeper(String organisation, Desk desk) {
        boolean lasting;
        boolean schedule;
        long retryMillis;
        synchronized (desk) {
            if (desk.keeperAwaySince.isEmpty()) {
                return false;
            }
            long now = clock.nowMillis();
            long comingMillis = desk.keeperBackAtMillis - now;
            lasting = now - desk.keeperAwaySince.get() > KEEPER_ABSENCE_MILLIS || comingMillis > KEEPER_ABSENCE_MILLIS;
            retryMillis = Math.max(UNAVAILABLE_RETRY_MILLIS, comingMillis);
            schedule = !lasting && !desk.waiting.isEmpty() && !desk.checkScheduled;
            desk.checkScheduled |= schedule;
        }
        if (lasting) {
            refuseWaiting(desk, Long.MAX_VALUE, false, retryMillis);
        } else {
            refuseWaiting(desk, clock.nowMillis(), false, retryMillis);
        }
        if (schedule) {
            control.schedule(() -> checkKeeper(organisation, desk), KEEPER_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return true;
    }

    private void checkKeeper(String organisation, Desk desk) {
        synchronized (desk) {
            desk.checkScheduled = false;
        }
        serveWaiting(desk);
        fetch(organisation, desk);
    }

    private void serveWaiting(Desk desk) {
        while (true) {
            Waiting next;
            synchronized (desk) {
                if (desk.waiting.isEmpty() || !desk.tryUse()) {
                    return;
                }
                next = desk.waiting.pollFirst();
            }
            next.decision().admitted();
        }
    }

    /** While the keeper has no tokens, waiting would only delay the refusal. */
    private void refuseIfPaused(Desk desk) {
        long pause = desk.account.retryNotBeforeMillis() - clock.nowMillis();
        if (pause > 0) {
            refuseWaiting(desk, Long.MAX_VALUE, true, pause);
        }
    }

    /** Refuses the requests at the head of the queue that wait until a time or less long. */
    private void refuseWaiting(Desk desk, long untilMillis, boolean overLimit, long retryAfterMillis) {
        while (true) {
            Waiting first;
            synchronized (desk) {
                first = desk.waiting.peekFirst();
                if (first == null || first.untilMillis() > untilMillis) {
                    return;
                }
                desk.waiting.removeFirst();
            }
            first.decision().refused(overLimit, retryAfterMillis);
        }
    }
}
