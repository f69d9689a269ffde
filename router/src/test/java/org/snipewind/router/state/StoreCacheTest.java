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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;

/**
 * Guards against changes that an instance misses because it relies on the broadcasts of another one or because a change
 * can't be applied, and against unnecessary watches.
 */
final class StoreCacheTest {

    private static final long START_REVISION = 7;

    /** Longer than broadcasts may be absent before an instance watches the store itself. */
    private static final long SILENCE_MILLIS = 1_300;

    /** Longer than the store may be silent before it counts as unreachable. */
    private static final long OUTAGE_MILLIS = 2_100;

    /** A store that records watches, which the tests complete. */
    private static final class RecordingStore implements CoordinationStore {
        private final List<CompletableFuture<StoreChanges>> watches = new CopyOnWriteArrayList<>();
        private final List<Long> watchedRevisions = new CopyOnWriteArrayList<>();
        private final AtomicInteger ranges = new AtomicInteger();
        private volatile long maxWaitMillis;
        private volatile boolean historyLost;
        private volatile StorePage page = new StorePage(List.of(), false, START_REVISION);

        @Override
        public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
            ranges.incrementAndGet();
            return CompletableFuture.completedFuture(page);
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
            maxWaitMillis = Math.max(maxWaitMillis, waitMillis);
            if (historyLost) {
                return CompletableFuture.failedFuture(historyLost());
            }
            CompletableFuture<StoreChanges> watch = new CompletableFuture<>();
            watchedRevisions.add(afterRevision);
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
    private final RecordingStore store = new RecordingStore();
    private final List<String> receivedChanges = new CopyOnWriteArrayList<>();
    private final StoreCacheListener listener = new StoreCacheListener() {
        @Override
        public void itemChanged(StoreItem item) {
            if (item.key().startsWith("fault")) {
                throw new StackOverflowError();
            }
            receivedChanges.add(item.key() + "=" + item.revision());
        }

        @Override
        public void itemRemoved(String key) {
            receivedChanges.add(key + " removed");
        }

        @Override
        public void changesApplied() {}
    };
    private final StoreCache cache = new StoreCache(store, loop, clock, new RouterEventLog("test", clock), listener);

    @BeforeEach
    void load() throws Exception {
        cache.start();
        await(() -> store.watches.size() == 1);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private void applyPeerChanges(long from, long to, long ageMillis, StoreChanges.Change... changes) throws Exception {
        loop.submit(() -> cache.applyPeerChanges(from, to, ageMillis, List.of(changes)))
                .get();
    }

    private void endWatch() throws Exception {
        int last = store.watches.size() - 1;
        endWatchWith(last, store.watchedRevisions.get(last));
    }

    private void endWatchWith(int number, long revision) throws Exception {
        CompletableFuture<StoreChanges> watch = store.watches.get(number);
        loop.submit(() -> watch.complete(new StoreChanges(List.of(), revision))).get();
    }

    private static StoreException historyLost() {
        return new StoreException(StoreException.Kind.HISTORY_LOST, "gone");
    }

    private static StoreChanges.Change written(String key, long revision) {
        byte[] value = key.getBytes(StandardCharsets.UTF_8);
        return new StoreChanges.Change(new StoreItem(key, value, revision, 0), false);
    }

    private static StoreChanges.Change removed(String key, long revision) {
        return new StoreChanges.Change(new StoreItem(key, new byte[0], revision, 0), true);
    }

    @Test
    void changesBroadcastByAnotherInstanceReplaceTheWatch() throws Exception {
        applyPeerChanges(START_REVISION, 9, 0, written("a", 8), removed("a", 9), written("b", 9));
        endWatch();
        assertThat(receivedChanges).containsExactly("a=8", "a removed", "b=9").inOrder();
        assertThat(cache.revision()).isEqualTo(9);
        assertThat(store.watches).hasSize(1);
    }

    @Test
    void anInstanceThatReceivesNoMoreBroadcastsWatchesTheStoreFromItsRevision() throws Exception {
        applyPeerChanges(START_REVISION, 9, 0, written("b", 9));
        endWatch();
        clock.advance(SILENCE_MILLIS);
        await(() -> store.watches.size() == 2);
        assertThat(store.watchedRevisions.get(1)).isEqualTo(9);
    }

    @Test
    void missedChangesAreFetchedFromTheStore() throws Exception {
        applyPeerChanges(START_REVISION, 9, 0, written("b", 9));
        endWatch();
        applyPeerChanges(11, 12, 0, written("c", 12));
        await(() -> store.watches.size() == 2);
        assertThat(store.watchedRevisions.get(1)).isEqualTo(9);
        assertThat(receivedChanges).doesNotContain("c=12");
    }

    @Test
    void aBroadcasterWithoutContactToTheStoreDoesNotReplaceTheWatch() throws Exception {
        applyPeerChanges(START_REVISION, START_REVISION, SILENCE_MILLIS);
        endWatch();
        await(() -> store.watches.size() == 2);
    }

    /** Guards against removed targets that stay in service because this instance alone has lost the store. */
    @Test
    void theStoreIsNotDownWhileAnotherInstanceReachesIt() throws Exception {
        loop.submit(() -> {
                    clock.advance(OUTAGE_MILLIS);
                    cache.applyPeerChanges(START_REVISION, START_REVISION, 0, List.of());
                })
                .get();
        awaitContactCheck();
        assertThat(cache.contactAgeMillis()).isEqualTo(OUTAGE_MILLIS);
        assertThat(cache.reconnectAgeMillis()).isGreaterThan(OUTAGE_MILLIS);
    }

    @Test
    void theEndOfAnOutageIsWhenTheStoreRespondedToAnyInstance() throws Exception {
        loop.submit(() -> clock.advance(OUTAGE_MILLIS)).get();
        await(() -> cache.reconnectAgeMillis() == 0);
        applyPeerChanges(START_REVISION, START_REVISION, 300);
        assertThat(cache.reconnectAgeMillis()).isEqualTo(300);
    }

    private static void awaitContactCheck() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(600);
    }

    @Test
    void noWatchWaitsTooLongToNoticeThatHistoryWasDropped() {
        // A watch may begin while the store withholds changes for a second, and changes must arrive within two seconds.
        assertThat(store.maxWaitMillis).isAtMost(1_000);
    }

    @Test
    void changesThatAWatchOmitsAreReadFromTheStore() throws Exception {
        store.page = new StorePage(List.of(written("evacuated", 9).item()), false, 9);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(new StoreChanges(List.of(), 9))).get();
        await(() -> store.watches.size() == 2);
        assertThat(receivedChanges).containsExactly("evacuated=9");
        assertThat(store.watchedRevisions.get(1)).isEqualTo(9);
    }

    // The item at the key of the change may be any of the cached ones, so all of them are read.
    @Test
    void aChangeThatCannotBeReadLeadsToAReadOfAllItemsAndNotToTheSameWatch() throws Exception {
        store.page = new StorePage(List.of(written("b", 9).item()), false, 9, 1);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(new StoreChanges(List.of(written("b", 9)), 9, 1)))
                .get();
        await(() -> store.watches.size() == 2);
        assertThat(receivedChanges).containsExactly("b=9");
        assertThat(store.watchedRevisions.get(1)).isEqualTo(9);
        assertThat(store.ranges.get()).isEqualTo(2);
    }

    @Test
    void anItemThatCannotBeAppliedDoesNotEndTheWatch() throws Exception {
        StoreChanges changes = new StoreChanges(List.of(written("fault", 8), written("sound", 9)), 9);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(changes)).get();
        await(() -> store.watches.size() == 2);
        CompletableFuture<StoreChanges> second = store.watches.get(1);
        loop.submit(() -> second.complete(changes)).get();
        await(() -> store.watches.size() == 3);
        assertThat(receivedChanges).containsExactly("sound=9");
        assertThat(store.watchedRevisions.get(2)).isEqualTo(9);
    }

    @Test
    void anItemThatCannotBeAppliedDoesNotDelayTheOthersOfItsAnswer() throws Exception {
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(new StoreChanges(List.of(written("fault", 8), written("sound", 9)), 9)))
                .get();
        assertThat(receivedChanges).containsExactly("sound=9");
        assertThat(cache.revision()).isEqualTo(9);
    }

    // The store's revision only rises, so an answer below the revision that was asked for proves the copy wrong.
    @Test
    void aCopyThatIsAheadOfTheStoreGoesBackToTheItemsOfTheStore() throws Exception {
        applyPeerChanges(START_REVISION, 50, 0, written("x", 50));
        endWatchWith(0, START_REVISION);
        clock.advance(SILENCE_MILLIS);
        await(() -> store.watches.size() == 2);
        store.page = new StorePage(List.of(written("a", 8).item()), false, 8);
        endWatchWith(1, 8);
        await(() -> store.watches.size() == 3);
        assertThat(receivedChanges).containsExactly("x=50", "a=8", "x removed");
        assertThat(store.watchedRevisions.get(2)).isEqualTo(8);
        CompletableFuture<StoreChanges> third = store.watches.get(2);
        loop.submit(() -> third.complete(new StoreChanges(List.of(written("x", 9)), 9)))
                .get();
        assertThat(receivedChanges).contains("x=9");
    }

    @Test
    void anItemWithARevisionThatTheStoreHasNotReachedIsReplaced() throws Exception {
        loop.submit(() -> cache.applyWrite(written("x", 50).item())).get();
        endWatchWith(0, START_REVISION);
        await(() -> store.watches.size() == 2);
        store.page = new StorePage(List.of(written("x", 8).item()), false, 8);
        endWatchWith(1, START_REVISION);
        await(() -> store.watches.size() == 3);
        assertThat(receivedChanges).containsExactly("x=50", "x=8").inOrder();
    }

    // Without the pause, an instance reads all items again and again as fast as the store answers.
    @Test
    void aStoreThatLosesItsHistoryAfterEachReadIsNotReadWithoutPause() throws Exception {
        store.historyLost = true;
        store.watches.get(0).completeExceptionally(historyLost());
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(store.ranges.get()).isAtMost(8);
    }

    // For example because the answer with all changes since the revision exceeds the limit of an answer.
    @Test
    void allItemsAreReadIfWatchesFailAlthoughTheStoreResponds() throws Exception {
        clock.advance(2_500);
        loop.submit(cache::recordContact).get();
        store.page = new StorePage(List.of(written("b", 9).item()), false, 9);
        store.watches.get(0).completeExceptionally(new StoreException(StoreException.Kind.UNKNOWN, "too large"));
        await(() -> store.watches.size() == 2);
        assertThat(receivedChanges).containsExactly("b=9");
        assertThat(store.watchedRevisions.get(1)).isEqualTo(9);
    }

    @Test
    void aWatchThatNeverEndsIsStartedAgain() throws Exception {
        clock.advance(10_000);
        await(() -> store.watches.size() == 2);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.completeExceptionally(new StoreException(StoreException.Kind.UNKNOWN, "late")))
                .get();
        TimeUnit.MILLISECONDS.sleep(700);
        assertThat(store.watches).hasSize(2);
    }

    @Test
    void aBroadcastBelowTheRevisionOfTheCopyDoesNotConfirmIt() throws Exception {
        applyPeerChanges(START_REVISION, 9, 0, written("b", 9));
        endWatch();
        clock.advance(SILENCE_MILLIS);
        applyPeerChanges(START_REVISION, 8, 0);
        await(() -> store.watches.size() == 2);
    }

    @Test
    void contactWithTheStoreDoesNotMakeTheCopyLookCurrent() throws Exception {
        clock.advance(5_000);
        loop.submit(cache::recordContact).get();
        assertThat(loop.submit(cache::ageMillis).get()).isAtLeast(5_000L);
    }

    @Test
    void anOlderCopyOfAPeerDoesNotConfirmThisOne() throws Exception {
        clock.advance(5_000);
        loop.submit(() -> cache.applyPeerDifference(START_REVISION, START_REVISION - 1, 0, List.of()))
                .get();
        loop.submit(() -> cache.applyPeerSnapshot(
                        START_REVISION - 1, 0, List.of(written("a", 1).item())))
                .get();
        assertThat(loop.submit(cache::ageMillis).get()).isAtLeast(5_000L);
    }

    // The largest age, of a leader that the store never confirmed, must not overflow to one that looks current.
    @Test
    void aBroadcasterThatTheStoreNeverConfirmedDoesNotReplaceTheWatch() throws Exception {
        applyPeerChanges(START_REVISION, START_REVISION, Long.MAX_VALUE);
        clock.advance(1);
        endWatch();
        await(() -> store.watches.size() == 2);
    }

    @Test
    void theBroadcastingInstanceWatchesTheStoreAndForwardsItsChanges() throws Exception {
        List<String> forwarded = new ArrayList<>();
        loop.submit(() -> cache.setChangeForwarding(
                        () -> true, (from, to, changes) -> forwarded.add(from + "-" + to + " " + changes.size())))
                .get();
        applyPeerChanges(START_REVISION, START_REVISION, 0);
        CompletableFuture<StoreChanges> first = store.watches.get(0);
        loop.submit(() -> first.complete(new StoreChanges(List.of(written("a", 8)), 8)))
                .get();
        await(() -> store.watches.size() == 2);
        assertThat(forwarded).containsExactly("7-8 1");
    }
}
