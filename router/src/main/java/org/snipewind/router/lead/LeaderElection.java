package org.snipewind.router.lead;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
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
import org.snipewind.router.port.GuardedStore;
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
 * Elects this instance as the leader by writing a leased item to the store, and ends its term before that lease can
 * expire. A successor may end the lease of a leader that its peers can't reach. The former leader may not learn of
 * this, but it acts no longer than until its lease would have expired. If the store was restored from an older copy,
 * the leader acts only once it has shown that its lease exists in the restored store. Confined to the control event
 * loop.
 */
public final class LeaderElection {

    private static final long LEADER_TICK_INTERVAL_MILLIS = 50;

    /** A follower is notified of each change of the fleet view, so it needs few checks by time. */
    private static final long FOLLOWER_TICK_INTERVAL_MILLIS = 250;

    private static final long CLAIM_RETRY_DELAY_MILLIS = 500;

    /** Delay between attempts of a leader to end its own lease while the store refuses the calls. */
    private static final long HANDOVER_RETRY_DELAY_MILLIS = 200;

    /** Time for the successor's item to arrive after this instance handed over or stepped down. */
    private static final long CLAIM_DELAY_AFTER_HANDOVER_MILLIS = 1_500;

    /** Without contact to the store for longer than this, the store cache does not show whether there is a leader. */
    private static final long MAX_CONTACT_AGE_MILLIS = 1_500;

    private final CoordinationStore store;
    private final StoreCache cache;
    private final FleetTracker tracker;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final MemberRecord self;
    private final TermListener termListener;
    private final Runnable onTermEnd;
    private final LeaseProof leaseProof;
    private final FormerLeaders formerLeaders;
    private final FormerTerms formerTerms;
    private boolean leading;
    private boolean claimInProgress;
    private boolean renewalInProgress;
    private boolean stopped;
    private boolean handingOver;
    private long leaseId;
    private long leaseValidUntilMillis;
    private long nextRenewalMillis;
    private long claimAtMillis = Long.MAX_VALUE;
    private long noClaimBeforeMillis;
    private long outrankedSinceMillis;

    /**
     * Creates the election of an instance that does not lead yet.
     *
     * @param store the store
     * @param cache local copy of the store's items
     * @param tracker provides the current fleet view
     * @param loop the control event loop
     * @param clock clock that measures the lease
     * @param log the event log
     * @param self this instance
     * @param termListener called when a term of this instance starts
     * @param onTermEnd called when the term ends
     */
    public LeaderElection(
            CoordinationStore store,
            StoreCache cache,
            FleetTracker tracker,
            EventLoop loop,
            MillisClock clock,
            RouterEventLog log,
            MemberRecord self,
            TermListener termListener,
            Runnable onTermEnd) {
        this.store = new GuardedStore(store);
        this.cache = cache;
        this.tracker = tracker;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.self = self;
        this.termListener = termListener;
        this.onTermEnd = onTermEnd;
        this.leaseProof = new LeaseProof(this.store, cache.eras(), clock, self);
        this.formerLeaders = new FormerLeaders(this.store, cache, self);
        this.formerTerms = new FormerTerms(loop, clock, log);
    }

    /** Starts to check the leadership on each change of the fleet view and periodically. */
    public void start() {
        tracker.addObserver(this::checkLeadership);
        loop.execute(this::tick);
    }

    private void tick() {
        try {
            checkLeadership();
        } finally {
            loop.schedule(
                    this::tick,
                    leading ? LEADER_TICK_INTERVAL_MILLIS : FOLLOWER_TICK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sets the callbacks that concern the former leader.
     *
     * @param requester asks a former leader to end its term
     * @param formerLeaderEnded called when all former leaders have confirmed the ends of their terms before their
     *     leases would have expired
     */
    public void setFormerLeaderCallbacks(TermEndRequester requester, Runnable formerLeaderEnded) {
        formerTerms.setCallbacks(requester, formerLeaderEnded);
    }

    /**
     * Returns whether this instance may act as the leader now.
     *
     * @return true while the lease is certain to be valid and is not being ended
     */
    public boolean isLeading() {
        return leading && !handingOver && !leaseProof.isOutstanding() && clock.nowMillis() < leaseValidUntilMillis;
    }

    /**
     * Takes the leadership over from a leader that can't be reached, unless a candidate with precedence does so first.
     *
     * @param unreachableLeader the leader to replace
     */
    public void replaceLeader(MemberRecord unreachableLeader) {
        loop.schedule(() -> replaceIfStillLeader(unreachableLeader), claimDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void replaceIfStillLeader(MemberRecord unreachableLeader) {
        boolean stillLeader = tracker.view()
                .leader()
                .map(record -> record.member().isSameProcess(unreachableLeader))
                .orElse(false);
        if (stillLeader
                && !leading
                && !claimInProgress
                && !stopped
                && cache.isOfPresentEra()
                && cache.contactAgeMillis() < MAX_CONTACT_AGE_MILLIS) {
            claim();
        }
    }

    /**
     * Ends the term of this instance because a successor has ended its lease.
     *
     * @param endedLeaseId id of the lease
     * @return true if this instance does not act under that lease any more and never will
     */
    public boolean stepDown(long endedLeaseId) {
        if (leading && (leaseId == endedLeaseId || leaseProof.mayHaveWritten(endedLeaseId))) {
            // The successor's item may not have arrived in the cache yet.
            noClaimBeforeMillis = clock.nowMillis() + CLAIM_DELAY_AFTER_HANDOVER_MILLIS;
            endTerm("a successor has ended the lease");
        }
        // A claim under that lease may already be in the store although its response has not arrived. A successor of
        // the time before a restoration of the store is no reason to end a term that was shown to exist after it, but
        // it has to know that this instance still acts.
        boolean claimsUnderIt = claimInProgress && leaseId == endedLeaseId;
        boolean actsInItsPlace = leading && leaseProof.hasReplaced(endedLeaseId);
        return !claimsUnderIt && !actsInItsPlace;
    }

    /**
     * Hands over the leadership and claims it no more, so that a successor need not wait until the lease expires. As
     * long as the store refuses to end the lease, there can be no successor, and this instance continues to lead while
     * its lease is valid.
     */
    public void stop() {
        stopped = true;
        handOver("the instance stops");
    }

    private void handOver(String reason) {
        if (!leading || handingOver) {
            return;
        }
        // A successor's term may start before the response to this call arrives.
        handingOver = true;
        store.endLease(leaseId).whenComplete((ignored, failure) -> {
            handingOver = false;
            if (failure != null && StoreException.kindOf(failure) == StoreException.Kind.REFUSED) {
                logFailure("end of the leader's lease", failure);
                loop.schedule(() -> handOver(reason), HANDOVER_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            } else if (leading) {
                endTerm(reason);
            }
        });
    }

    private void checkLeadership() {
        long now = clock.nowMillis();
        if (leading) {
            checkAsLeader(now);
        } else if (!claimInProgress && !stopped) {
            checkAsFollower(now);
        }
    }

    private void checkAsLeader(long now) {
        boolean anotherLeads = tracker.view()
                .leader()
                .map(record -> !record.member().isSameProcess(self))
                .orElse(false);
        if (anotherLeads) {
            endTerm("another instance leads");
        } else if (now >= leaseValidUntilMillis) {
            endTerm("the lease may have ended");
        } else if (leaseProof.isOutstanding()) {
            proveLease(now);
        } else if (shouldHandOver(now)) {
            noClaimBeforeMillis = now + CLAIM_DELAY_AFTER_HANDOVER_MILLIS;
            handOver("a larger instance is to lead");
        } else if (now >= nextRenewalMillis && !renewalInProgress && !handingOver) {
            renewLease(now);
            if (now >= formerTerms.untilMillis()) {
                formerLeaders.removeExpired(leaseId);
            }
        }
    }

    private boolean shouldHandOver(long now) {
        if (!isOutranked()) {
            outrankedSinceMillis = now;
        }
        return !handingOver && now - outrankedSinceMillis >= CandidatePriority.HANDOVER_AFTER_MILLIS;
    }

    /** Shows that the lease exists in a restored store; until then, this instance does not act. */
    private void proveLease(long now) {
        if (handingOver || !leaseProof.isDue(now)) {
            return;
        }
        long provenLeaseId = leaseId;
        leaseProof.show(provenLeaseId).whenComplete((shown, failure) -> {
            if (!leading || leaseId != provenLeaseId) {
                return;
            }
            if (failure == null) {
                leaseId = shown.leaseId();
                setLeaseRenewed(shown.requestedAtMillis());
                cache.recordContact();
                cache.applyWrite(shown.item());
                log.write(
                        RouterEvent.LEADERSHIP_PROVEN,
                        () -> "revision=" + shown.item().revision() + " lease=" + leaseId);
            } else if (isLost(StoreException.kindOf(failure))) {
                endTerm("the restored store does not list the lease");
            } else {
                logFailure("proof of the leader's lease", failure);
            }
        });
    }

    private static boolean isLost(StoreException.Kind kind) {
        return kind == StoreException.Kind.LEASE_ENDED || kind == StoreException.Kind.CONFLICT;
    }

    private void setLeaseRenewed(long requestedAtMillis) {
        leaseValidUntilMillis =
                requestedAtMillis + LeaderTimes.LEASE_LIFETIME_MILLIS - LeaderTimes.LEASE_SAFETY_MARGIN_MILLIS;
    }

    private void logFailure(String call, Throwable failure) {
        log.write(
                RouterEvent.STORE_CALL_FAILED,
                () -> "call=" + call + " valid=" + (leaseValidUntilMillis - clock.nowMillis()) + "ms cause="
                        + failure.getMessage());
    }

    private void renewLease(long now) {
        renewalInProgress = true;
        nextRenewalMillis = now + LeaderTimes.LEASE_RENEWAL_INTERVAL_MILLIS;
        long renewedLeaseId = leaseId;
        store.renewLease(renewedLeaseId).whenComplete((ignored, failure) -> {
            renewalInProgress = false;
            if (renewedLeaseId != leaseId) {
                return;
            }
            if (failure == null) {
                cache.recordContact();
                setLeaseRenewed(now);
            } else if (StoreException.kindOf(failure) == StoreException.Kind.LEASE_ENDED
                    && leading
                    && !leaseProof.isOutstanding()) {
                endTerm("the lease has ended");
            } else {
                logFailure("renewal of the leader's lease", failure);
            }
        });
    }

    private void checkAsFollower(long now) {
        Optional<LeaderRecord> leader = tracker.view().leader();
        // A leader item with this instance's name is left over from an earlier process, or from a lease that was not
        // renewed in time.
        boolean listsOwnName =
                leader.map(record -> record.member().name().equals(self.name())).orElse(false);
        boolean claimable = leader.isEmpty() || listsOwnName;
        if (!claimable
                || now < noClaimBeforeMillis
                || !cache.isLoaded()
                || !cache.isOfPresentEra()
                || cache.contactAgeMillis() > MAX_CONTACT_AGE_MILLIS) {
            claimAtMillis = Long.MAX_VALUE;
        } else if (claimAtMillis == Long.MAX_VALUE) {
            long delay = listsOwnName && !isOutranked() ? 0 : claimDelayMillis();
            claimAtMillis = now + delay;
            loop.schedule(this::checkLeadership, delay, TimeUnit.MILLISECONDS);
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
        claimInProgress = true;
        claimAtMillis = Long.MAX_VALUE;
        Optional<LeaderRecord> listedLeader = tracker.view().leader();
        // A leader whose lease has expired ended its term before that, and an earlier process of this instance is gone.
        // Any other leader may not know that its lease has been ended.
        Optional<LeaderRecord> replacedLeader =
                listedLeader.filter(record -> !record.member().name().equals(self.name()));
        List<LeaderRecord> former = new ArrayList<>(replacedLeader.stream().toList());
        formerLeaders.others().stream()
                .filter(record -> former.stream().noneMatch(record::isSameTerm))
                .forEach(former::add);
        CompletableFuture<Void> formerLeaseEnded = replacedLeader
                .map(formerLeaders::record)
                .orElseGet(() -> CompletableFuture.completedFuture(null))
                .thenCompose(ignored -> listedLeader
                        .map(record -> store.endLease(record.leaseId()))
                        .orElseGet(() -> CompletableFuture.completedFuture(null)));
        long[] leaseRequestedAtMillis = new long[1];
        formerLeaseEnded
                .thenCompose(ignored -> {
                    // The former lease has ended, so its last renewal was before this time.
                    leaseRequestedAtMillis[0] = clock.nowMillis();
                    return store.openLease(LeaderTimes.LEASE_LIFETIME_MILLIS);
                })
                .thenCompose(this::writeClaim)
                .whenComplete((revision, failure) -> {
                    claimInProgress = false;
                    if (failure == null) {
                        startTerm(leaseRequestedAtMillis[0], revision, former);
                    } else {
                        log.write(
                                RouterEvent.STORE_CALL_FAILED,
                                () -> "call=claim of the leadership cause=" + failure.getMessage());
                        abandonClaim(failure);
                    }
                });
    }

    private CompletableFuture<Long> writeClaim(long openedLeaseId) {
        leaseId = openedLeaseId;
        return store.commit(List.of(new StoreWrite(StoreKeys.LEADER, 0, RecordCodec.encode(self), openedLeaseId)));
    }

    private void abandonClaim(Throwable failure) {
        claimAtMillis = clock.nowMillis() + CLAIM_RETRY_DELAY_MILLIS;
        if (leaseId != 0 && StoreException.kindOf(failure) != StoreException.Kind.CONFLICT) {
            // The write may have taken effect or may still do so. Ending its lease removes the item and prevents that.
            endLease(leaseId);
        }
        leaseId = 0;
    }

    private void startTerm(long leaseRequestedAtMillis, long revision, List<LeaderRecord> former) {
        leading = true;
        outrankedSinceMillis = clock.nowMillis();
        leaseProof.onTermStart(revision);
        setLeaseRenewed(leaseRequestedAtMillis);
        nextRenewalMillis = clock.nowMillis() + LeaderTimes.LEASE_RENEWAL_INTERVAL_MILLIS;
        cache.recordContact();
        cache.applyWrite(new StoreItem(StoreKeys.LEADER, RecordCodec.encode(self), revision, leaseId));
        log.write(RouterEvent.LEADERSHIP_TAKEN, () -> "revision=" + revision + " lease=" + leaseId);
        formerTerms.onTermStart(former, leaseRequestedAtMillis);
        termListener.onTermStart(
                formerTerms.untilMillis(),
                former.stream().map(LeaderRecord::member).findFirst());
        long termLeaseId = leaseId;
        former.forEach(record -> formerTerms.requestEnd(record, () -> leading && leaseId == termLeaseId));
    }

    private void endTerm(String reason) {
        leading = false;
        log.write(
                RouterEvent.LEADERSHIP_ENDED,
                () -> "reason=" + reason + " valid=" + (leaseValidUntilMillis - clock.nowMillis()) + "ms contact-age="
                        + cache.contactAgeMillis() + "ms");
        onTermEnd.run();
    }

    private void endLease(long endedLeaseId) {
        store.endLease(endedLeaseId).whenComplete((ignored, failure) -> {
            if (failure != null) {
                log.write(
                        RouterEvent.STORE_CALL_FAILED,
                        () -> "call=end of the leader's lease cause=" + failure.getMessage());
            }
        });
    }
}
