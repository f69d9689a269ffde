package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreException.Kind;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.port.UnresponsiveStore;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.StoreCache;

/** Guards against a table that counts as written in an era of the store that it only came to with the copy. */
final class KeyTableWriterTest {

    private static final String KEY = "table";

    /** A store that takes writes without a response, and lists what was written at a position that the test sets. */
    private static final class UnansweringStore extends UnresponsiveStore {
        private byte[] written = {};
        private long position;

        @Override
        public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
            return CompletableFuture.completedFuture(
                    new StorePage(List.of(new StoreItem(KEY, written, position, 0)), false, position));
        }

        @Override
        public CompletableFuture<Long> commit(List<StoreWrite> writes) {
            written = writes.get(0).value();
            return CompletableFuture.failedFuture(new StoreException(Kind.UNKNOWN, "no response"));
        }
    }

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final UnansweringStore store = new UnansweringStore();
    private final StoreCache cache =
            new StoreCache(store, loop, clock, log, new FleetTracker(new EmptyStoreItemParser(), clock, log));
    private final KeyTableWriter writer = new KeyTableWriter(store, cache, KEY);
    private final KeyTable table = new KeyTable(List.of(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 3, List.of())));

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    @Test
    void aTableThatIsFoundInTheEraOfItsWriteWasWritten() throws Exception {
        store.position = 9;
        assertThat(writer.write(table, 5).get()).isEqualTo(9);
    }

    @Test
    void aTableThatIsFoundInALaterEraHasToBeWrittenAgain() {
        store.position = StorePosition.of(1, 9);
        ExecutionException failure = assertThrows(
                ExecutionException.class, () -> writer.write(table, 5).get());
        assertThat(StoreException.kindOf(failure)).isEqualTo(Kind.CONFLICT);
    }
}
