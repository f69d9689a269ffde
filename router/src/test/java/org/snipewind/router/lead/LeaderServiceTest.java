package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.protocol.LeavingTargets;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;

/** Guards against notices of targets that are lost on their way to the leader. */
final class LeaderServiceTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final SimulatedStore store = new SimulatedStore(clock, new Random(1));
    private final FleetTracker tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
    private final StoreCache cache = new StoreCache(store, loop, clock, log, tracker);
    private final MemberRecord self = new MemberRecord("entry", "boot", "127.0.0.1:1", "dc-1", 1);
    private final LeaderService service =
            new LeaderService(store, cache, tracker, new SimulatedTargets(clock, new Random(1)), clock, log, self);

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    @Test
    void aTargetThatTheLeaderDoesNotKnowYetIsRecordedAsLeaving() {
        service.setLeaderElection(
                new LeaderElection(store, cache, tracker, loop, clock, log, self, (until, former) -> {}, () -> {}));
        service.handleLeavingTargets(new LeavingTargets(List.of("a@1")));
        assertThat(tracker.notices().isLeaving("a@1")).isTrue();
        assertThat(tracker.view().findInService("a@1")).isEqualTo(Optional.empty());
    }
}
