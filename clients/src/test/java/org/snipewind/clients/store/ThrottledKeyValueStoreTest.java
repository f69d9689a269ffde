package org.snipewind.clients.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Guards against a daemon that overloads the store or stops calling it. */
final class ThrottledKeyValueStoreTest {

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final InMemoryStore store = new InMemoryStore();
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<Long> delays = new ArrayList<>();
    private final ThrottledKeyValueStore throttled =
            new ThrottledKeyValueStore(store, new StoreCallLimiter(clock, () -> 0.5), (task, delayMillis) -> {
                delayed.add(task);
                delays.add(delayMillis);
            });

    @Test
    void callsBeyondTheBurstAreDelayedToTheRate() {
        for (int i = 0; i < 20; i++) {
            assertThat(throttled.get("k" + i).isDone()).isTrue();
        }
        CompletableFuture<?> beyondBurst = throttled.get("late");
        assertThat(beyondBurst.isDone()).isFalse();
        assertThat(delays).containsExactly(200L);
        clock.advance(200);
        delayed.get(0).run();
        assertThat(beyondBurst.isDone()).isTrue();
    }

    @Test
    void oneCallIsInFlightPerKey() {
        store.holdsResponses = true;
        CompletableFuture<?> first = throttled.get("k");
        CompletableFuture<?> second = throttled.get("k");
        assertThat(store.heldResponses).hasSize(1);
        CompletableFuture<?> watch = throttled.watch("k", 0, 1_000);
        assertThat(watch.isDone()).isFalse();
        assertThat(store.heldResponses).hasSize(2);
        store.heldResponses.get(0).complete(null);
        assertThat(first.isDone()).isTrue();
        assertThat(second.isDone()).isFalse();
        assertThat(store.heldResponses).hasSize(3);
    }

    @Test
    void failuresLengthenTheBackoffUpToItsMaximum() {
        store.isUnreachable = true;
        assertThat(throttled.get("k").isCompletedExceptionally()).isTrue();
        for (int i = 0; i < 12; i++) {
            CompletableFuture<?> next = throttled.get("k");
            assertThat(next.isDone()).isFalse();
            clock.advance(delays.get(delays.size() - 1));
            delayed.get(delayed.size() - 1).run();
            assertThat(next.isCompletedExceptionally()).isTrue();
        }
        assertThat(delays.subList(0, 3)).containsExactly(25L, 50L, 100L).inOrder();
        assertThat(delays.get(11)).isEqualTo(2_500);
    }
}
