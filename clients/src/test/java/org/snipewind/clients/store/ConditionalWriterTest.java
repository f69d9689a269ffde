package org.snipewind.clients.store;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.store.WriteOutcome.Kind;

/** Guards writes that are taken for lost or applied without proof. */
final class ConditionalWriterTest {

    private final MemoryStore store = new MemoryStore();
    private final ConditionalWriter writer =
            new ConditionalWriter(store, content -> new String(content, StandardCharsets.UTF_8));

    @Test
    void aLostAnswerIsSettledByTheWriterId() {
        store.losesSwapAnswers = true;
        assertThat(write(0, "first")).isEqualTo(Kind.APPLIED);
        assertThat(write(0, "second")).isEqualTo(Kind.CONFLICT);
    }

    @Test
    void aWriteThatMayStillArriveIsUnknown() {
        store.losesSwaps = true;
        assertThat(write(0, "first")).isEqualTo(Kind.UNKNOWN);
        store.losesSwaps = false;
        store.losesSwapAnswers = true;
        store.isDown = true;
        assertThat(write(0, "first")).isEqualTo(Kind.UNKNOWN);
    }

    @Test
    void aLostAnswerFollowedByFurtherWritesIsUnknown() {
        assertThat(write(0, "first")).isEqualTo(Kind.APPLIED);
        assertThat(write(1, "second")).isEqualTo(Kind.APPLIED);
        store.losesSwapAnswers = true;
        assertThat(write(0, "third")).isEqualTo(Kind.UNKNOWN);
    }

    @Test
    void aConflictBringsTheNewerValue() throws Exception {
        assertThat(write(0, "first")).isEqualTo(Kind.APPLIED);
        WriteOutcome outcome =
                writer.write("k", 0, "second".getBytes(StandardCharsets.UTF_8)).get();
        assertThat(outcome.kind()).isEqualTo(Kind.CONFLICT);
        assertThat(outcome.current().get().version()).isEqualTo(1);
    }

    private Kind write(long expected, String id) {
        return writer.write("k", expected, id.getBytes(StandardCharsets.UTF_8))
                .join()
                .kind();
    }
}
