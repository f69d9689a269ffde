package org.snipewind.standins.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.store.ConditionalWriter;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.clients.store.StoreException;
import org.snipewind.clients.store.SwapResult;
import org.snipewind.clients.store.WriteOutcome;
import org.snipewind.standins.server.StandInServer;

/** Guards against a store client or stand-in that loses updates, or that reports an outcome that it does not know. */
final class StoreStandInTest {

    private static final byte[] FIRST = "first".getBytes(StandardCharsets.UTF_8);
    private static final byte[] SECOND = "second".getBytes(StandardCharsets.UTF_8);

    private final StoreStandIn standIn = new StoreStandIn(1);
    private StandInServer server;
    private HttpKeyValueStore store;

    @BeforeEach
    void start() {
        server = StandInServer.start(standIn, 0);
        store = client("one", 1_000);
    }

    @AfterEach
    void stop() {
        store.close();
        server.close();
    }

    @Test
    void aSwapIsAppliedOnlyIfTheVersionMatches() throws Exception {
        String key = "configuration/history/1&x=ä";
        assertThat(store.get(key).get()).isEqualTo(java.util.Optional.empty());
        assertThat(store.compareAndSwap(key, 0, FIRST).get()).isEqualTo(new SwapResult(true, 1));
        assertThat(store.compareAndSwap(key, 0, SECOND).get()).isEqualTo(new SwapResult(false, 1));
        assertThat(store.get(key).get().get().content()).isEqualTo(FIRST);
        byte[] largest = new byte[1 << 20];
        largest[5] = 7;
        assertThat(store.compareAndSwap(key, 1, largest).get().applied()).isTrue();
        assertThat(store.get(key).get().get().content()).isEqualTo(largest);
        assertThat(standIn.report().calls()).containsExactly("get", 3L, "swap", 3L, "watch", 0L);
    }

    @Test
    void aWatchEndsWithTheNextVersionOrAfterItsTimeout() throws Exception {
        CompletableFuture<?> timedOutWatch = store.watch("k", 0, 20);
        assertThat(timedOutWatch.get(5, TimeUnit.SECONDS)).isEqualTo(java.util.Optional.empty());
        var watch = store.watch("k", 0, 20_000);
        while (standIn.report().waitingWatches() == 0) {
            Thread.sleep(5);
        }
        assertThat(store.compareAndSwap("k", 0, FIRST).get().applied()).isTrue();
        assertThat(watch.get(5, TimeUnit.SECONDS).get().version()).isEqualTo(1);
        assertThat(store.watch("k", 0, 20_000).get(5, TimeUnit.SECONDS).get().content())
                .isEqualTo(FIRST);
        assertThat(standIn.report().waitingWatches()).isEqualTo(0);
    }

    @Test
    void aWriteWithALostResponseFailsAndIsResolvedByReadingTheValue() {
        standIn.setFaults(new StoreFaults(StoreFaults.Mode.NORMAL, 0, 1, Set.of()));
        assertFails(store.compareAndSwap("k", 0, FIRST));
        assertThat(standIn.report().versions()).containsExactly("k", 1L);
        standIn.setFaults(StoreFaults.NONE);
        ConditionalWriter writer = new ConditionalWriter(store, content -> new String(content, StandardCharsets.UTF_8));
        assertThat(writer.write("k", 0, FIRST).join().kind()).isEqualTo(WriteOutcome.Kind.APPLIED);
        assertThat(writer.write("k", 0, SECOND).join().kind()).isEqualTo(WriteOutcome.Kind.CONFLICT);
    }

    @Test
    void oneCallerCanBeDisconnectedAlone() throws Exception {
        standIn.setFaults(new StoreFaults(StoreFaults.Mode.NORMAL, 0, 0, Set.of("one")));
        assertFails(store.get("k"));
        try (HttpKeyValueStore other = client("two", 1_000)) {
            assertThat(other.get("k").get().isEmpty()).isTrue();
        }
    }

    @Test
    void aCallToAHangingStoreFailsWithoutEffect() {
        standIn.setFaults(new StoreFaults(StoreFaults.Mode.HANG, 0, 0, Set.of()));
        try (HttpKeyValueStore shortTimeoutStore = client("three", 100)) {
            assertFails(shortTimeoutStore.compareAndSwap("k", 0, FIRST));
        }
        assertThat(standIn.report().versions()).isEmpty();
    }

    private HttpKeyValueStore client(String caller, long timeoutMillis) {
        return new HttpKeyValueStore(List.of(server.address()), caller, timeoutMillis, (kind, outcome) -> {});
    }

    private static void assertFails(CompletableFuture<?> call) {
        Throwable failure = assertThrows(ExecutionException.class, () -> call.get(5, TimeUnit.SECONDS));
        Throwable cause = failure.getCause() instanceof CompletionException
                ? failure.getCause().getCause()
                : failure.getCause();
        assertThat(cause).isInstanceOf(StoreException.class);
    }
}
