package org.snipewind.router.state;

import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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

/** Guards against an instance that leaves the fleet permanently because one call to the store could not be started. */
final class MembershipTest {

    /** A store that accepts everything, but some calls fail to start. */
    private static final class FaultyStore implements CoordinationStore {
        private final AtomicInteger openings = new AtomicInteger();
        private final AtomicInteger renewals = new AtomicInteger();

        @Override
        public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> commit(List<StoreWrite> writes) {
            return CompletableFuture.completedFuture(8L);
        }

        @Override
        public CompletableFuture<Long> openLease(long lifetimeMillis) {
            failFirst(openings);
            return CompletableFuture.completedFuture(1L);
        }

        @Override
        public CompletableFuture<Void> renewLease(long lease) {
            failFirst(renewals);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            return CompletableFuture.completedFuture(null);
        }

        private static void failFirst(AtomicInteger calls) {
            if (calls.incrementAndGet() == 1) {
                throw new OutOfMemoryError("buffer of a request");
            }
        }
    }

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final FaultyStore store = new FaultyStore();
    private final StoreCache cache = new StoreCache(store, loop, clock, log, new StoreCacheListener() {
        @Override
        public void itemChanged(StoreItem item) {}

        @Override
        public void itemRemoved(String key) {}

        @Override
        public void changesApplied() {}
    });
    private final Membership membership =
            new Membership(store, cache, loop, log, new MemberRecord("entry", "boot", "127.0.0.1:1", "dc-1", 1));

    @BeforeEach
    void join() {
        cache.applyPeerSnapshot(5, 0, List.of(new StoreItem("config/a", new byte[1], 5, 0)));
        membership.start();
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    /** Guards against an instance that never joins because opening its lease failed to start. */
    @Test
    void joiningGoesOnAfterACallThatFailedToStart() throws Exception {
        await(() -> store.openings.get() >= 2);
    }

    /** Guards against a membership that expires because one renewal failed to start. */
    @Test
    void renewalsGoOnAfterOneThatFailedToStart() throws Exception {
        store.openings.set(1);
        await(() -> store.renewals.get() >= 2);
    }
}
