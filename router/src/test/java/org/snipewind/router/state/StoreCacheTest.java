package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;

/** Guards against changes that an instance misses because another one passes them on, and against needless watches. */
final class StoreCacheTest {

    private static final long START_REVISION = 7;

    /** Longer than a feed may be silent. */
    private static final long SILENCE_MILLIS = 1_300;

    /** Records watches, which a test answers. */
    private static final class WatchedStore implements CoordinationStore {
        private final List<CompletableFuture<StoreChanges>> watches = new CopyOnWriteArrayList<>();
        private final List<Long> watchedFrom = new CopyOnWriteArrayList<>();
        private volatile long longestWait;
        private volatile StorePage page = new StorePage(List.of(), false, START_REVISION);

        @Override
        public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
            return CompletableFuture.completedFuture(page);
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
            longestWait = Math.max(longestWait, waitMillis);
            CompletableFuture<StoreChanges> watch = new CompletableFuture<>();
            watchedFrom.add(afterRevision);
            watches.add(watch);
            return watch;
        }

        @Override
        public CompletableFuture<Long> commit(List<StoreWrite> writes) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> openLease(long lifetimeMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> renewLease(long lease) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            return new CompletableFuture<>();
        }
    }

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final WatchedStore store = new WatchedStore();
    private final List<String> seen = new CopyOnWriteArrayList<>();
    private final StoreCacheListener listener = new StoreCacheListener() {
        @Override
        public void itemChanged(StoreItem item) {
            seen.add(item.key() + "=" + item.revision());
        }

        @Override
        public void itemRemoved(String key) {
            seen.add(key + " removed");
        }

        @Override
        public void changesApplied() {}
    };
    private final StoreCache mirror = new StoreCache(store, loop, clock, new RouterEventLog("test", clock), listener);

    @BeforeEach
    void load() throws Exception {
        mirror.start();
        await(() -> store.watches.size() == 1);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private void follow(long from, long to, long ageMillis, StoreChanges.Change... changes) throws Exception {
        loop.submit(() -> mirror.applyPeerChanges(from, to, ageMillis, List.of(changes)))
                .get();
    }

    private void endWatch() throws Exception {
        CompletableFuture<StoreChanges> last = store.watches.get(store.watches.size() - 1);
        loop.submit(() -> last.complete(new StoreChanges(List.of(), mirror.revision())))
                .get();
    }

    private static StoreChanges.Change written(String key, long revision) {
        byte[] value = key.getBytes(StandardCharsets.UTF_8);
        return new StoreChanges.Change(new StoreItem(key, value, revision, 0), false);
    }

    private static StoreChanges.Change removed(String key, long revision) {
        return new StoreChanges.Change(new StoreItem(key, new byte[0], revision, 0), true);
    }

    @Test
    void changesOfAnotherInstanceReplaceTheOwnWatch() throws Exception {
        follow(START_REVISION, 9, 0, written("a", 8), removed("a", 9), written("b", 9));
        endWatch();
        assertThat(seen).containsExactly("a=8", "a removed", "b=9").inOrder();
        assertThat(mirror.revision()).isEqualTo(9);
        assertThat(store.watches).hasSize(1);
    }

    @Test
    void anInstanceThatHearsNothingMoreWatchesTheStoreFromWhereItStands() throws Exception {
        follow(START_REVISION, 9, 0, written("b", 9));
        endWatch();
        clock.advance(SILENCE_MILLIS);
        await(() -> store.watches.size() == 2);
        assertThat(store.watchedFrom.get(1)).isEqualTo(9);
    }

    @Test
    void aGapInTheChangesIsFilledFromTheStore() throws Exception {
        follow(START_REVISION, 9, 0, written("b", 9));
        endWatch();
        follow(11, 12, 0, written("c", 12));
        await(() -> store.watches.size() == 2);
        assertThat(store.watchedFrom.get(1)).isEqualTo(9);
        assertThat(seen).doesNotContain("c=12");
    }

    @Test
    void anInstanceThatIsCutOffFromTheStoreItselfFeedsNobody() throws Exception {
        follow(START_REVISION, START_REVISION, SILENCE_MILLIS);
        endWatch();
        await(() -> store.watches.size() == 2);
    }

    @Test
    void noWatchWaitsSoLongThatADroppedHistoryShowsLate() {
        // A watch may begin in the second in which the store tells of no changes, which are due within two seconds.
        assertThat(store.longestWait).isAtMost(1_000);
    }

    @Test
    void changesOfWhichAWatchDoesNotTellAreRead() throws Exception {
        store.page = new StorePage(List.of(written("evacuated", 9).item()), false, 9);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(new StoreChanges(List.of(), 9))).get();
        await(() -> store.watches.size() == 2);
        assertThat(seen).containsExactly("evacuated=9");
        assertThat(store.watchedFrom.get(1)).isEqualTo(9);
    }

    @Test
    void theFeedingInstanceWatchesTheStoreAndPassesItsChangesOn() throws Exception {
        List<String> passedOn = new ArrayList<>();
        loop.submit(() -> mirror.setChangeForwarding(
                        () -> true, (from, to, changes) -> passedOn.add(from + "-" + to + " " + changes.size())))
                .get();
        follow(START_REVISION, START_REVISION, 0);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(new StoreChanges(List.of(written("a", 8)), 8)))
                .get();
        await(() -> store.watches.size() == 2);
        assertThat(passedOn).containsExactly("7-8 1");
    }
}
