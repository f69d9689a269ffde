package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.router.log.DecisionLog;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreMirror;

/** Guards against a time without a leader that nobody can end, and against two leaders at the end of one. */
final class LeadershipTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final DecisionLog log = new DecisionLog("test", clock);
    private final SimulatedStore store = new SimulatedStore(clock, new Random(1));
    private final FleetTracker tracker = new FleetTracker(new NoDocuments(), clock, log);
    private final StoreMirror mirror = new StoreMirror(store, loop, clock, log, tracker);
    private final MemberRecord self = new MemberRecord("entry", "boot", "127.0.0.1:1", "dc-1", 1);
    private final Leadership leadership =
            new Leadership(store, mirror, tracker, loop, clock, log, self, formerUntil -> {}, () -> {});

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
}
