package org.snipewind.router.lead;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.election.CandidateOrder;
import org.snipewind.router.log.DecisionLog;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;
import org.snipewind.router.state.StoreMirror;

/**
 * Elects this instance as the leader through a leased item of the store and gives the office up in time. A successor
 * may end the lease of a leader that peers can't reach; how long the former one may still act is bounded by its lease.
 * Belongs to the control loop.
 */
public final class Leadership {

    private static final long TICK_MILLIS = 50;

    private static final long CLAIM_PAUSE_MILLIS = 500;

    /** Time between attempts to end the lease of a leader that stops while the store refuses calls. */
    private static final long VACATE_RETRY_MILLIS = 200;

    /** A copy of the store that is older says nothing about a missing leader. */
    private static final long FRESH_MILLIS = 1_500;

    private final CoordinationStore store;
    private final StoreMirror mirror;
    private final FleetTracker tracker;
    private final EventLoop loop;
    private final MillisClock clock;
    private final DecisionLog log;
    private final MemberRecord self;
    private final LongConsumer onElected;
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
     * @param onElected called when this instance begins to lead, with the time until which a former leader may act
     * @param onEnded called when it ends
     */
    public Leadership(
            CoordinationStore store,
            StoreMirror mirror,
            FleetTracker tracker,
            EventLoop loop,
            MillisClock clock,
            DecisionLog log,
            MemberRecord self,
            LongConsumer onElected,
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
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Tells whether this instance may give orders now.
     *
     * @return true while the lease has certainly not ended
     */
    public boolean isLeading() {
        return leading && !vacating && clock.nowMillis() < validUntilMillis;
    }

    /** Takes the office from a leader that can't be reached. */
    public void replaceLeader() {
        if (!leading && !claiming && !stopped && mirror.contactAgeMillis() < FRESH_MILLIS) {
            claim();
        }
    }

    /**
     * Gives the office up for good, so that a successor need not wait for the end of the lease. While the store refuses
     * to end the lease, there can be no successor, and this instance leads on as long as its lease is valid.
     */
    public void stop() {
        stopped = true;
        vacate();
    }

    private void vacate() {
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
                loop.schedule(this::vacate, VACATE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else if (leading) {
                end("the instance stops");
            }
        });
    }

    private void tick() {
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
        } else if (now >= nextRenewalMillis && !renewing && !vacating) {
            renew(now);
        }
    }

    private void renew(long now) {
        renewing = true;
        nextRenewalMillis = now + LeaderTimes.LEASE_RENEWAL_MILLIS;
        long renewed = lease;
        store.renewLease(renewed).whenComplete((done, failure) -> {
            renewing = false;
            if (renewed != lease) {
                return;
            }
            if (failure == null) {
                mirror.noteContact();
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
        if (!vacant || !mirror.isLoaded() || mirror.contactAgeMillis() > FRESH_MILLIS) {
            claimAtMillis = Long.MAX_VALUE;
        } else if (claimAtMillis == Long.MAX_VALUE) {
            claimAtMillis = now + (ownFormerLife ? 0 : claimDelayMillis());
        } else if (now >= claimAtMillis) {
            claim();
        }
    }

    private long claimDelayMillis() {
        return CandidateOrder.claimDelayMillis(
                self.capacity(),
                otherCapacities(),
                () -> ThreadLocalRandom.current().nextDouble());
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
        boolean deposed = former.map(record -> !record.member().name().equals(self.name()))
                .orElse(false);
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

    private void begin(long sentAtMillis, long revision, boolean deposed) {
        leading = true;
        validUntilMillis = sentAtMillis + LeaderTimes.LEASE_MILLIS - LeaderTimes.LEASE_MARGIN_MILLIS;
        nextRenewalMillis = clock.nowMillis() + LeaderTimes.LEASE_RENEWAL_MILLIS;
        mirror.noteContact();
        mirror.noteWritten(new StoreItem(StoreKeys.LEADER, RecordCodec.encode(self), revision, lease));
        log.write(RouterEvent.LEADERSHIP_TAKEN, () -> "revision=" + revision + " lease=" + lease);
        onElected.accept(deposed ? sentAtMillis + LeaderTimes.LEASE_MILLIS : clock.nowMillis());
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
