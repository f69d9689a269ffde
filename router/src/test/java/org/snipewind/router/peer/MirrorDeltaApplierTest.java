package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.lead.EmptyStoreItemParser;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.UnresponsiveStore;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Guards against callers that are refused after the loss of a leader, while requests of all organisations wait for the
 * next one, because an instance learns of the new leader only from its own watch of the store.
 */
final class MirrorDeltaApplierTest {

    private static final long START_REVISION = UnresponsiveStore.REVISION;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final FleetTracker tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
    private final StoreCache cache = new StoreCache(new UnresponsiveStore(), loop, clock, log, tracker);
    private final MirrorDeltaApplier applier = new MirrorDeltaApplier(cache);
    private final MemberRecord leader = new MemberRecord("entry", "boot", "127.0.0.1:1", "dc-1", 1);

    @BeforeEach
    void load() throws Exception {
        cache.start();
        await(cache::isLoaded);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private void applyDelta(String key, long revision) throws Exception {
        MirrorAnswer.Item item = new MirrorAnswer.Item(key, revision, 5, false, RecordCodec.encode(leader));
        MirrorDelta delta = new MirrorDelta(revision, revision, 0, List.of(item), List.of(), List.of());
        loop.submit(() -> applier.applyDelta(delta)).get();
    }

    @Test
    void aNewLeaderIsKnownAtOnceEvenIfEarlierChangesAreMissing() throws Exception {
        applyDelta(StoreKeys.LEADER, 12);
        assertThat(tracker.view().leader().map(LeaderRecord::member)).hasValue(leader);
        assertThat(cache.revision()).isEqualTo(START_REVISION);
    }

    @Test
    void otherItemsAreNotAppliedWhileEarlierChangesAreMissing() throws Exception {
        applyDelta(StoreKeys.MEMBER_PREFIX + leader.name(), 12);
        assertThat(tracker.view().members()).isEmpty();
    }
}
