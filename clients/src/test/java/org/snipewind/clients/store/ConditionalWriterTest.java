package org.snipewind.clients.store;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.store.WriteOutcome.Kind;

/** Guards against writes that are reported as applied, or as not applied, without proof. */
final class ConditionalWriterTest {

    private final InMemoryStore store = new InMemoryStore();
    private final ConditionalWriter writer =
            new ConditionalWriter(store, content -> new String(content, StandardCharsets.UTF_8));

    @Test
    void aLostResponseIsResolvedByTheWriterId() {
        store.losesSwapResponses = true;
        assertThat(write(0, "first")).isEqualTo(Kind.APPLIED);
        assertThat(write(0, "second")).isEqualTo(Kind.CONFLICT);
    }

    @Test
    void aWriteThatMayStillArriveIsUnknown() {
        store.losesSwaps = true;
        assertThat(write(0, "first")).isEqualTo(Kind.UNKNOWN);
        store.losesSwaps = false;
        store.losesSwapResponses = true;
        store.isUnreachable = true;
        assertThat(write(0, "first")).isEqualTo(Kind.UNKNOWN);
    }

    @Test
    void aLostResponseFollowedByFurtherWritesIsUnknown() {
        assertThat(write(0, "first")).isEqualTo(Kind.APPLIED);
        assertThat(write(1, "second")).isEqualTo(Kind.APPLIED);
        store.losesSwapResponses = true;
        assertThat(write(0, "third")).isEqualTo(Kind.UNKNOWN);
    }

    @Test
    void aConflictReturnsTheNewerValue() throws Exception {
        assertThat(write(0, "first")).isEqualTo(Kind.APPLIED);
        WriteOutcome outcome =
                writer.write("k", 0, "second".getBytes(StandardCharsets.UTF_8)).get();
        assertThat(outcome.kind()).isEqualTo(Kind.CONFLICT);
        assertThat(outcome.current().get().version()).isEqualTo(1);
    }

    private Kind write(long expectedVersion, String writerId) {
        return writer.write("k", expectedVersion, writerId.getBytes(StandardCharsets.UTF_8))
                .join()
                .kind();
    }
}
