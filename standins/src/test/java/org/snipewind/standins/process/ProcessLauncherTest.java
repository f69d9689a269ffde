package org.snipewind.standins.process;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.standins.Standins;

/** Guards against processes that outlive their launcher, and against a pause that does not stop a process. */
@Timeout(60)
final class ProcessLauncherTest {

    @TempDir
    Path logs;

    @Test
    void aProcessCanBePausedResumedStoppedAndKilled() throws Exception {
        ChildProcess remaining;
        try (ProcessLauncher launcher = new ProcessLauncher(96, logs)) {
            ChildProcess process = start(launcher, "store");
            String address = process.readyLine().substring(Standins.READY_PREFIX.length());
            try (HttpKeyValueStore store =
                    new HttpKeyValueStore(List.of(address), "test", 2_000, (kind, outcome) -> {})) {
                assertThat(store.get("k").get(5, TimeUnit.SECONDS).isEmpty()).isTrue();
                process.pause();
                assertThrows(ExecutionException.class, () -> store.get("k").get(5, TimeUnit.SECONDS));
                process.resume();
                assertThat(store.get("k").get(5, TimeUnit.SECONDS).isEmpty()).isTrue();
            }
            process.stop();
            assertThat(process.awaitExit(Duration.ofSeconds(10))).isNotEqualTo(0);
            remaining = start(launcher, "instances");
            assertThat(remaining.isAlive()).isTrue();
        }
        remaining.awaitExit(Duration.ofSeconds(10));
    }

    @Test
    void aProcessThatNeverBecomesReadyIsAnError() {
        try (ProcessLauncher launcher = new ProcessLauncher(96, logs)) {
            assertThrows(IllegalStateException.class, () -> start(launcher, "target"));
        }
    }

    private static ChildProcess start(ProcessLauncher launcher, String kind) {
        return launcher.start(
                kind, Standins.class.getName(), List.of(kind), line -> line.startsWith(Standins.READY_PREFIX));
    }
}
