package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.election.CandidatePriority;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Guards against a period without a leader in which no successor can start, against two leaders at the end of a term,
 * and against a leader without the capacity for its work.
 */
final class LeaderElectionTest {

    /** Id of every lease that the simulated store opens. */
    private static final long LEASE_ID = 1;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final SimulatedStore store = new SimulatedStore(clock, new Random(1));
    private final FleetTracker tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
    private final StoreCache cache = new StoreCache(store, loop, clock, log, tracker);
    private final MemberRecord self = new MemberRecord("entry", "boot", "127.0.0.1:1", "dc-1", 1);
    private final LeaderElection leaderElection = new LeaderElection(
            store, cache, tracker, loop, clock, log, self, (formerLeaderUntil, formerLeader) -> {}, () -> {});

    @BeforeEach
    void elect() throws Exception {
        cache.start();
        leaderElection.start();
        await(() -> {
            clock.advance(10);
            return leaderElection.isLeading();
        });
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private void stop() throws Exception {
        loop.submit(leaderElection::stop).get();
    }

    @Test
    void aLeaderThatStopsEndsItsTermAtOnce() throws Exception {
        stop();
        assertThat(leaderElection.isLeading()).isFalse();
    }

    @Test
    void aLeaderThatStopsWhileTheStoreRefusesCallsContinuesUntilASuccessorCanStart() throws Exception {
        store.setEndLeaseFailure(Optional.of(StoreException.Kind.REFUSED));
        stop();
        assertThat(leaderElection.isLeading()).isTrue();
        store.setEndLeaseFailure(Optional.empty());
        await(() -> !leaderElection.isLeading());
    }

    @Test
    void aLeaderThatStopsAndGetsNoResponseEndsItsTermSinceASuccessorMayHaveStarted() throws Exception {
        store.setEndLeaseFailure(Optional.of(StoreException.Kind.UNKNOWN));
        stop();
        assertThat(leaderElection.isLeading()).isFalse();
    }

    @Test
    void aLeaderThatStopsNeverLeadsLongerThanItsLease() throws Exception {
        store.setEndLeaseFailure(Optional.of(StoreException.Kind.REFUSED));
        stop();
        // A stopping leader still renews its lease while the store accepts renewals, but here the clock jumps past it.
        clock.advance(LeaderTimes.LEASE_LIFETIME_MILLIS);
        assertThat(leaderElection.isLeading()).isFalse();
    }

    private static MemberRecord other(double capacity) {
        return new MemberRecord("other", "other-boot", "127.0.0.1:2", "dc-1", capacity);
    }

    private void addMember(MemberRecord member) throws Exception {
        byte[] content = RecordCodec.encode(member);
        loop.submit(() -> cache.applyWrite(new StoreItem(StoreKeys.MEMBER_PREFIX + member.name(), content, 1_000, 9)))
                .get();
    }

    private void advanceTime(long millis) throws Exception {
        loop.submit(() -> clock.advance(millis)).get();
        // The leader checks its leadership again within one tick of the loop.
        TimeUnit.MILLISECONDS.sleep(120);
    }

    @Test
    void aSmallLeaderHandsOverToALargerInstanceThatStays() throws Exception {
        addMember(other(5));
        for (long elapsedMillis = 0; elapsedMillis < CandidatePriority.HANDOVER_AFTER_MILLIS; elapsedMillis += 1_000) {
            assertThat(leaderElection.isLeading()).isTrue();
            advanceTime(1_000);
        }
        await(() -> !leaderElection.isLeading());
        // The larger instance has time to claim the leadership.
        advanceTime(500);
        assertThat(leaderElection.isLeading()).isFalse();
    }

    @Test
    void aLeaderDoesNotHandOverToAnInstanceThatIsHardlyLarger() throws Exception {
        addMember(other(1.5));
        for (long elapsedMillis = 0; elapsedMillis <= CandidatePriority.HANDOVER_AFTER_MILLIS; elapsedMillis += 1_000) {
            advanceTime(1_000);
        }
        assertThat(leaderElection.isLeading()).isTrue();
    }

    @Test
    void aReplacedLeaderEndsItsTermWhenItsSuccessorRequestsIt() throws Exception {
        assertThat(loop.submit(() -> leaderElection.stepDown(LEASE_ID + 1)).get())
                .isTrue();
        assertThat(leaderElection.isLeading()).isTrue();
        assertThat(loop.submit(() -> leaderElection.stepDown(LEASE_ID)).get()).isTrue();
        assertThat(leaderElection.isLeading()).isFalse();
    }

    @Test
    void aSuccessorLearnsThatTheFormerLeaderHasEndedBeforeItsLeaseExpires() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        AtomicBoolean ended = new AtomicBoolean();
        leaderElection.setFormerLeaderCallbacks(
                former -> CompletableFuture.completedFuture(requests.incrementAndGet() > 1), () -> ended.set(true));
        loop.submit(() -> leaderElection.stepDown(LEASE_ID)).get();
        store.endLease(LEASE_ID);
        MemberRecord former = other(1);
        byte[] content = RecordCodec.encode(former);
        long revision = store.commit(List.of(new StoreWrite(StoreKeys.LEADER, 0, content, LEASE_ID + 1)))
                .get();
        loop.submit(() -> cache.applyWrite(new StoreItem(StoreKeys.LEADER, content, revision, LEASE_ID + 1)))
                .get();
        loop.submit(() -> leaderElection.replaceLeader(former)).get();
        await(ended::get);
        assertThat(leaderElection.isLeading()).isTrue();
        assertThat(requests.get()).isEqualTo(2);
    }
}
