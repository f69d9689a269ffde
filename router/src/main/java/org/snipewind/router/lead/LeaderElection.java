package org.snipewind.router.lead;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.election.CandidatePriority;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Elects this instance as the leader through a leased item of the store and gives the office up in time. A successor
 * may end the lease of a leader that peers can't reach; how long the former one may still act is bounded by its lease.
 * Belongs to the control loop.
 */
public final class LeaderElection {

    private static final long TICK_MILLIS = 50;

    /** An instance that only follows is told of changes by the view; time alone matters little to it. */
    private static final long FOLLOWER_TICK_MILLIS = 250;

    private static final long CLAIM_PAUSE_MILLIS = 500;

    /** Time between attempts to end the lease of a leader that stops while the store refuses calls. */
    private static final long VACATE_RETRY_MILLIS = 200;

    /** After this instance gave the office away, word of the next leader has this time to arrive. */
    private static final long YIELD_PAUSE_MILLIS = 1_500;

    /** Time between requests to a former leader to end its term. */
    private static final long TERM_END_RETRY_MILLIS = 200;

    /** A copy of the store that is older says nothing about a missing leader. */
    private static final long FRESH_MILLIS = 1_500;

    private final CoordinationStore store;
    private final StoreCache mirror;
    private final FleetTracker tracker;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final MemberRecord self;
    private final TermListener onElected;
    private final Runnable onEnded;
    private boolean leading;
    private boolean claiming;
    private boolean renewing;
    private boolean stopped;
    private boolean vacating;
    private long lease;
    private long validUntilMillis;
    private long nextRenewalMillis;
    private long claimAtMillis = Long.MAX_VALUE;
    private long claimNotBeforeMillis;
    private long outrankedSinceMillis;
    private TermEndRequester termEnd = former -> CompletableFuture.completedFuture(false);
    private Runnable onFormerEnded = () -> {};

    /**
     * Creates an instance that does not lead.
     *
     * @param store the store
     * @param mirror the copy of the store
     * @param tracker the view of the fleet
     * @param loop the control loop
     * @param clock the clock of the lease
     * @param log the log
     * @param self this instance
     * @param onElected called when this instance begins to lead
     * @param onEnded called when it ends
     */
    public LeaderElection(
            CoordinationStore store,
            StoreCache mirror,
            FleetTracker tracker,
            EventLoop loop,
            MillisClock clock,
            RouterEventLog log,
            MemberRecord self,
            TermListener onElected,
            Runnable onEnded) {
        this.store = store;
        this.mirror = mirror;
        this.tracker = tracker;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.self = self;
        this.onElected = onElected;
        this.onEnded = onEnded;
    }

    /** Starts to watch over the office. */
    public void start() {
        tracker.addObserver(this::look);
        loop.execute(this::tick);
    }

    private void tick() {
        try {
            look();
        } finally {
            loop.schedule(this::tick, leading ? TICK_MILLIS : FOLLOWER_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sets how a former leader is asked to end its term.
     *
     * @param request asks it
     * @param formerEnded called when the former leader can't act any more, if that is sooner than was announced
     */
    public void setFormerLeaderCallbacks(TermEndRequester request, Runnable formerEnded) {
        termEnd = request;
        onFormerEnded = formerEnded;
    }

    /**
     * Tells whether this instance may give orders now.
     *
     * @return true while the lease has certainly not ended
     */
    public boolean isLeading() {
        return leading && !vacating && clock.nowMillis() < validUntilMillis;
    }

    /**
     * Takes the office from a leader that can't be reached, unless an instance that is to go first does.
     *
     * @param missed the leader
     */
    public void replaceLeader(MemberRecord missed) {
        loop.schedule(() -> replaceIfStillLeading(missed), claimDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void replaceIfStillLeading(MemberRecord missed) {
        boolean same = tracker.view()
                .leader()
                .map(record -> record.member().isSameProcess(missed))
                .orElse(false);
        if (same && !leading && !claiming && !stopped && mirror.contactAgeMillis() < FRESH_MILLIS) {
            claim();
        }
    }

    /**
     * Ends the term of this instance because a successor has ended its lease.
     *
     * @param ended the lease
     * @return whether this instance does not act under that lease any more and never will
     */
    public boolean stepDown(long ended) {
        if (leading && lease == ended) {
            // The item of the successor may not have arrived yet.
            claimNotBeforeMillis = clock.nowMillis() + YIELD_PAUSE_MILLIS;
            end("a successor has ended the lease");
        }
        // The claim under that lease may be in the store while its answer is still on its way.
        return !(claiming && lease == ended);
    }

    /**
     * Gives the office up for good, so that a successor need not wait for the end of the lease. While the store refuses
     * to end the lease, there can be no successor, and this instance leads on as long as its lease is valid.
     */
    public void stop() {
        stopped = true;
        vacate("the instance stops");
    }

    private void vacate(String reason) {
        if (!leading || vacating) {
            return;
        }
        // A successor may begin before the answer to this call arrives.
        vacating = true;
        store.endLease(lease).whenComplete((done, failure) -> {
            vacating = false;
            if (failure != null && StoreException.kindOf(failure) == StoreException.Kind.REFUSED) {
                log.write(
                        RouterEvent.STORE_CALL_FAILED,
                        () -> "call=end of the leader's lease valid=" + (validUntilMillis - clock.nowMillis())
                                + "ms cause=" + failure.getMessage());
                loop.schedule(() -> vacate(reason), VACATE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else if (leading) {
                end(reason);
            }
        });
    }

    private void look() {
        long now = clock.nowMillis();
        if (leading) {
            lead(now);
        } else if (!claiming && !stopped) {
            follow(now);
        }
    }

    private void lead(long now) {
        boolean replaced = tracker.view()
                .leader()
                .map(record -> !record.member().isSameProcess(self))
                .orElse(false);
        if (replaced) {
            end("another instance leads");
        } else if (now >= validUntilMillis) {
            end("the lease may have ended");
        } else if (isToYield(now)) {
            claimNotBeforeMillis = now + YIELD_PAUSE_MILLIS;
            vacate("a larger instance is to lead");
        } else if (now >= nextRenewalMillis && !renewing && !vacating) {
            renew(now);
        }
    }

    private boolean isToYield(long now) {
        if (!isOutranked()) {
            outrankedSinceMillis = now;
        }
        return !vacating && now - outrankedSinceMillis >= CandidatePriority.HANDOVER_AFTER_MILLIS;
    }

    private void renew(long now) {
        renewing = true;
        nextRenewalMillis = now + LeaderTimes.LEASE_RENEWAL_INTERVAL_MILLIS;
        long renewed = lease;
        store.renewLease(renewed).whenComplete((done, failure) -> {
            renewing = false;
            if (renewed != lease) {
                return;
            }
            if (failure == null) {
                mirror.recordContact();
                validUntilMillis = now + LeaderTimes.LEASE_MILLIS - LeaderTimes.LEASE_MARGIN_MILLIS;
            } else if (StoreException.kindOf(failure) == StoreException.Kind.LEASE_ENDED && leading) {
                end("the lease has ended");
            } else {
                log.write(
                        RouterEvent.STORE_CALL_FAILED,
                        () -> "call=renewal of the leader's lease valid=" + (validUntilMillis - clock.nowMillis())
                                + "ms cause=" + failure.getMessage());
            }
        });
    }

    private void follow(long now) {
        Optional<LeaderRecord> leader = tracker.view().leader();
        // An entry of this instance is left from a former process, or from a lease that was not renewed in time.
        boolean ownFormerLife =
                leader.map(record -> record.member().name().equals(self.name())).orElse(false);
        boolean vacant = leader.isEmpty() || ownFormerLife;
        if (!vacant || now < claimNotBeforeMillis || !mirror.isLoaded() || mirror.contactAgeMillis() > FRESH_MILLIS) {
            claimAtMillis = Long.MAX_VALUE;
        } else if (claimAtMillis == Long.MAX_VALUE) {
            long delay = ownFormerLife && !isOutranked() ? 0 : claimDelayMillis();
            claimAtMillis = now + delay;
            loop.schedule(this::look, delay, TimeUnit.MILLISECONDS);
        } else if (now >= claimAtMillis) {
            claim();
        }
    }

    private long claimDelayMillis() {
        return CandidatePriority.claimDelayMillis(
                self.capacity(),
                otherCapacities(),
                () -> ThreadLocalRandom.current().nextDouble());
    }

    private boolean isOutranked() {
        return CandidatePriority.isOutranked(self.capacity(), otherCapacities());
    }

    private List<Double> otherCapacities() {
        return tracker.view().members().values().stream()
                .filter(member -> !member.name().equals(self.name()))
                .map(MemberRecord::capacity)
                .toList();
    }

    private void claim() {
        claiming = true;
        claimAtMillis = Long.MAX_VALUE;
        Optional<LeaderRecord> former = tracker.view().leader();
        CompletableFuture<Void> vacated = former.map(record -> store.endLease(record.lease()))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
        // A leader whose lease ran out has stopped before, and an own earlier process has ended; another one may not
        // know.
        Optional<LeaderRecord> deposed =
                former.filter(record -> !record.member().name().equals(self.name()));
        long[] sentAt = new long[1];
        vacated.thenCompose(done -> {
                    // Renewals of the former lease succeeded before this time only.
                    sentAt[0] = clock.nowMillis();
                    return store.openLease(LeaderTimes.LEASE_MILLIS);
                })
                .thenCompose(this::writeClaim)
                .whenComplete((revision, failure) -> {
                    claiming = false;
                    if (failure == null) {
                        begin(sentAt[0], revision, deposed);
                    } else {
                        log.write(
                                RouterEvent.STORE_CALL_FAILED,
                                () -> "call=claim of the leadership cause=" + failure.getMessage());
                        abandonClaim(failure);
                    }
                });
    }

    private CompletableFuture<Long> writeClaim(long opened) {
        lease = opened;
        return store.commit(List.of(new StoreWrite(StoreKeys.LEADER, 0, RecordCodec.encode(self), opened)));
    }

    private void abandonClaim(Throwable failure) {
        claimAtMillis = clock.nowMillis() + CLAIM_PAUSE_MILLIS;
        if (lease != 0 && StoreException.kindOf(failure) != StoreException.Kind.CONFLICT) {
            // The write may have taken effect or may do so later; without its lease it can't.
            endLease(lease);
        }
        lease = 0;
    }

    private void begin(long sentAtMillis, long revision, Optional<LeaderRecord> deposed) {
        leading = true;
        outrankedSinceMillis = clock.nowMillis();
        validUntilMillis = sentAtMillis + LeaderTimes.LEASE_MILLIS - LeaderTimes.LEASE_MARGIN_MILLIS;
        nextRenewalMillis = clock.nowMillis() + LeaderTimes.LEASE_RENEWAL_INTERVAL_MILLIS;
        mirror.recordContact();
        mirror.applyWrite(new StoreItem(StoreKeys.LEADER, RecordCodec.encode(self), revision, lease));
        log.write(RouterEvent.LEADERSHIP_TAKEN, () -> "revision=" + revision + " lease=" + lease);
        if (deposed.isPresent()) {
            long formerUntilMillis = sentAtMillis + LeaderTimes.LEASE_MILLIS;
            onElected.onTermStart(formerUntilMillis, deposed.map(LeaderRecord::member));
            requestTermEnd(deposed.get(), lease, formerUntilMillis);
        } else {
            onElected.onTermStart(clock.nowMillis(), Optional.empty());
        }
    }

    /** A former leader that has ended need not be waited for, and callers are refused as long as it is. */
    private void requestTermEnd(LeaderRecord former, long ownLease, long formerUntilMillis) {
        termEnd.request(former).whenComplete((ended, failure) -> {
            if (!leading || lease != ownLease || clock.nowMillis() >= formerUntilMillis) {
                return;
            }
            if (failure == null && ended) {
                log.write(
                        RouterEvent.FORMER_LEADER_ENDED,
                        () -> "former=" + former.member().name() + " earlier=" + (formerUntilMillis - clock.nowMillis())
                                + "ms");
                onFormerEnded.run();
            } else {
                loop.schedule(
                        () -> requestTermEnd(former, ownLease, formerUntilMillis),
                        TERM_END_RETRY_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        });
    }

    private void end(String reason) {
        leading = false;
        log.write(
                RouterEvent.LEADERSHIP_ENDED,
                () -> "reason=" + reason + " valid=" + (validUntilMillis - clock.nowMillis()) + "ms contact-age="
                        + mirror.contactAgeMillis() + "ms");
        onEnded.run();
    }

    private void endLease(long ended) {
        store.endLease(ended).whenComplete((done, failure) -> {
            if (failure != null) {
                log.write(
                        RouterEvent.STORE_CALL_FAILED,
                        () -> "call=end of the leader's lease cause=" + failure.getMessage());
            }
        });
    }
}
