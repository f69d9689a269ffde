package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.UnresponsiveStore;

/** Guards against a copy with items of two eras, because the store was restored during a read. */
final class ReadAcrossErasTest {

    /** A store that is restored between the first and the second page of the first read. */
    private static final class RestoredStore extends UnresponsiveStore {
        private final List<Optional<String>> reads = new CopyOnWriteArrayList<>();

        @Override
        public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
            reads.add(after);
            long era = reads.size() == 1 ? 0 : 1;
            String key = after.isEmpty() ? "first-of-era-" + era : "second-of-era-" + era;
            StoreItem item = new StoreItem(key, new byte[0], StorePosition.of(era, 5), 0);
            return CompletableFuture.completedFuture(
                    new StorePage(List.of(item), after.isEmpty(), StorePosition.of(era, 7)));
        }
    }

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RestoredStore store = new RestoredStore();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final StoreCache cache =
            new StoreCache(store, loop, clock, new RouterEventLog("test", clock), new StoreCacheListener() {
                @Override
                public void itemChanged(StoreItem item) {
                    received.add(item.key());
                }

                @Override
                public void itemRemoved(String key) {}

                @Override
                public void changesApplied() {}
            });

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    @Test
    void pagesOfTwoErasAreNotMixed() throws Exception {
        cache.start();
        await(() -> store.reads.size() >= 4 && received.size() >= 2);
        assertThat(received).containsExactly("first-of-era-1", "second-of-era-1");
    }
}
