package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.router.lead.EmptyStoreItemParser;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.UnresponsiveStore;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.StoreCache;

/** Guards against caches that count as current because peers confirm them to each other. */
final class MirrorAnswerApplierTest {

    private static final long ROUND_TRIP_MILLIS = 200;

    private static final long ROUNDS = 20;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final StoreCache first = newCache();
    private final StoreCache second = newCache();

    private StoreCache newCache() {
        return new StoreCache(
                new UnresponsiveStore(), loop, clock, log, new FleetTracker(new EmptyStoreItemParser(), clock, log));
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private static MirrorAnswer answerOf(StoreCache cache) {
        return new MirrorAnswer(cache.revision(), cache.ageMillis(), 0, false, List.of(), List.of());
    }

    private void ask(StoreCache asking, StoreCache asked) {
        long askedMillis = clock.nowMillis();
        MirrorAnswer answer = answerOf(asked);
        clock.advance(ROUND_TRIP_MILLIS);
        new MirrorAnswerApplier(asking, clock, log).applyAnswer(asking.revision(), askedMillis, Optional.of(answer));
    }

    /**
     * Guards against an outage of the store that is not noticed, after which targets that could not renew their
     * registration are removed at once.
     */
    @Test
    void theAgeOfACacheRisesWhilePeersAskEachOther() {
        List<StoreItem> items = List.of(new StoreItem("config/a", new byte[1], 5, 0));
        first.applyPeerSnapshot(5, 0, items);
        second.applyPeerSnapshot(5, 0, items);
        for (int round = 0; round < ROUNDS; round++) {
            ask(first, second);
            ask(second, first);
        }
        assertThat(first.ageMillis()).isAtLeast(2 * ROUNDS * ROUND_TRIP_MILLIS);
        assertThat(second.ageMillis()).isAtLeast(2 * ROUNDS * ROUND_TRIP_MILLIS);
    }
}
