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
 * Guards against a time without a leader that nobody can end, against two leaders at the end of one, and against a
 * leader that can't carry its work.
 */
final class LeaderElectionTest {

    /** The lease that the simulated store gives out. */
    private static final long LEASE = 1;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final SimulatedStore store = new SimulatedStore(clock, new Random(1));
    private final FleetTracker tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
    private final StoreCache mirror = new StoreCache(store, loop, clock, log, tracker);
    private final MemberRecord self = new MemberRecord("entry", "boot", "127.0.0.1:1", "dc-1", 1);
    private final LeaderElection leadership =
            new LeaderElection(store, mirror, tracker, loop, clock, log, self, (formerUntil, deposed) -> {}, () -> {});

    @BeforeEach
    void elect() throws Exception {
        mirror.start();
        leadership.start();
        await(() -> {
            clock.advance(10);
            return leadership.isLeading();
        });
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private void stop() throws Exception {
        loop.submit(leadership::stop).get();
    }

    @Test
    void aLeaderThatStopsEndsItsTermAtOnce() throws Exception {
        stop();
        assertThat(leadership.isLeading()).isFalse();
    }

    @Test
    void aLeaderThatStopsWhileTheStoreRefusesCallsLeadsOnUntilASuccessorCanBegin() throws Exception {
        store.failLeaseEnds(Optional.of(StoreException.Kind.REFUSED));
        stop();
        assertThat(leadership.isLeading()).isTrue();
        store.failLeaseEnds(Optional.empty());
        await(() -> !leadership.isLeading());
    }

    @Test
    void aLeaderThatStopsAndGetsNoAnswerEndsItsTermSinceASuccessorMayHaveBegun() throws Exception {
        store.failLeaseEnds(Optional.of(StoreException.Kind.UNKNOWN));
        stop();
        assertThat(leadership.isLeading()).isFalse();
    }

    @Test
    void aLeaderThatStopsNeverLeadsLongerThanItsLease() throws Exception {
        store.failLeaseEnds(Optional.of(StoreException.Kind.REFUSED));
        stop();
        // A stopping leader still renews its lease while the store takes renewals, but this time has passed at once.
        clock.advance(LeaderTimes.LEASE_MILLIS);
        assertThat(leadership.isLeading()).isFalse();
    }

    private static MemberRecord other(double capacity) {
        return new MemberRecord("other", "other-boot", "127.0.0.1:2", "dc-1", capacity);
    }

    private void list(MemberRecord member) throws Exception {
        byte[] content = RecordCodec.encode(member);
        loop.submit(() -> mirror.applyWrite(new StoreItem(StoreKeys.MEMBER_PREFIX + member.name(), content, 1_000, 9)))
                .get();
    }

    private void passTime(long millis) throws Exception {
        loop.submit(() -> clock.advance(millis)).get();
        // The next look at the office comes within a tick of the loop.
        TimeUnit.MILLISECONDS.sleep(120);
    }

    @Test
    void aSmallLeaderGivesTheOfficeToALargerInstanceThatStays() throws Exception {
        list(other(5));
        for (long passed = 0; passed < CandidatePriority.HANDOVER_AFTER_MILLIS; passed += 1_000) {
            assertThat(leadership.isLeading()).isTrue();
            passTime(1_000);
        }
        await(() -> !leadership.isLeading());
        // The larger instance has time to take the office.
        passTime(500);
        assertThat(leadership.isLeading()).isFalse();
    }

    @Test
    void aLeaderStaysBesideAnInstanceThatIsHardlyLarger() throws Exception {
        list(other(1.5));
        for (long passed = 0; passed <= CandidatePriority.HANDOVER_AFTER_MILLIS; passed += 1_000) {
            passTime(1_000);
        }
        assertThat(leadership.isLeading()).isTrue();
    }

    @Test
    void aLeaderThatWasReplacedEndsItsTermWhenItsSuccessorAsks() throws Exception {
        assertThat(loop.submit(() -> leadership.stepDown(LEASE + 1)).get()).isTrue();
        assertThat(leadership.isLeading()).isTrue();
        assertThat(loop.submit(() -> leadership.stepDown(LEASE)).get()).isTrue();
        assertThat(leadership.isLeading()).isFalse();
    }

    @Test
    void aSuccessorHearsThatTheFormerLeaderHasEndedThoughItsLeaseWouldRunOn() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        AtomicBoolean ended = new AtomicBoolean();
        leadership.setFormerLeaderCallbacks(
                former -> CompletableFuture.completedFuture(asked.incrementAndGet() > 1), () -> ended.set(true));
        loop.submit(() -> leadership.stepDown(LEASE)).get();
        store.endLease(LEASE);
        MemberRecord former = other(1);
        byte[] content = RecordCodec.encode(former);
        long revision = store.commit(List.of(new StoreWrite(StoreKeys.LEADER, 0, content, LEASE + 1)))
                .get();
        loop.submit(() -> mirror.applyWrite(new StoreItem(StoreKeys.LEADER, content, revision, LEASE + 1)))
                .get();
        loop.submit(() -> leadership.replaceLeader(former)).get();
        await(ended::get);
        assertThat(leadership.isLeading()).isTrue();
        assertThat(asked.get()).isEqualTo(2);
    }
}
