package org.snipewind.router.log;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Guards against a periodic task that is never run again after one failure. */
final class GuardedTaskTest {

    private final RouterEventLog log = new RouterEventLog("test", new ManualMillisClock(0));

    @Test
    void aPeriodicTaskThatFailedOnceIsRunAgain() throws Exception {
        DefaultEventLoop loop = new DefaultEventLoop();
        AtomicInteger runs = new AtomicInteger();
        Runnable failingFirst = () -> {
            if (runs.incrementAndGet() == 1) {
                throw new StackOverflowError();
            }
        };
        loop.scheduleAtFixedRate(new GuardedTask(log, "test", failingFirst), 1, 1, TimeUnit.MILLISECONDS);
        await(() -> runs.get() >= 3);
        loop.shutdownNow();
    }

    @Test
    void theContinuationIsRunOnlyAfterAFailure() {
        List<String> continued = new ArrayList<>();
        new GuardedTask(log, "sound", () -> {}, () -> continued.add("sound")).run();
        new GuardedTask(
                        log,
                        "faulty",
                        () -> {
                            throw new IllegalStateException("a fault of the task");
                        },
                        () -> continued.add("faulty"))
                .run();
        assertThat(continued).containsExactly("faulty");
    }
}
