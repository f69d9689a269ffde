package org.snipewind.clients.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class ConfigurationStoreTest {

    private final InMemoryStore values = new InMemoryStore();
    private final ConfigurationStore store = new ConfigurationStore(values, () -> 5);
    private final FleetConfiguration configuration =
            ConfigurationFolder.read(Path.of("../samples/jalsetu")).get();

    /** Guards against a concurrent change that overwrites an accepted one, or does not report it. */
    @Test
    void laterOfTwoConcurrentChangesReportsTheConflictingRevision() {
        store.accept(configuration, 0, "ana", "first");
        values.beforeSwap = () -> store.accept(configuration, 1, "bela", "faster");
        Either<AcceptFailure, ConfigurationRevision> later = store.accept(configuration, 1, "carlos", "slower");
        assertThat(later.getLeft().kind()).isEqualTo(AcceptFailure.Kind.CONFLICT);
        assertThat(later.getLeft().detail()).contains("revision 2 by bela at 1970-01-01T00:00:00.005Z (faster)");
        assertThat(store.current().get().author()).isEqualTo("bela");
    }

    /** Guards against a change that is reported as failed, or made twice, when the store's response is lost. */
    @Test
    void lostResponseOfAnAppliedChangeIsResolvedByTheWriterId() {
        store.accept(configuration, 0, "ana", "first");
        values.lostResponses = 2;
        assertThat(store.accept(configuration, 1, "ana", "second").get().revision())
                .isEqualTo(2);
        assertThat(store.history(10)).hasSize(2);
    }

    /** Guards against a conflict reported after a lost response when another operator then replaced the revision. */
    @Test
    void lostResponseIsResolvedFromTheHistoryIfTheRevisionWasReplaced() {
        store.accept(configuration, 0, "ana", "first");
        values.lostResponses = 1;
        values.beforeSwap = () -> values.beforeSwap = () -> {
            values.lostResponses = 0;
            store.accept(configuration, 2, "bela", "third");
        };
        assertThat(store.accept(configuration, 1, "ana", "second").isRight()).isTrue();
        assertThat(store.current().get().author()).isEqualTo("bela");
    }

    /** Guards against a history that shows an abandoned attempt instead of the revision that was current. */
    @Test
    void historyEntryOfAnAbandonedAttemptIsReplaced() {
        store.accept(configuration, 0, "ana", "first");
        ConfigurationRevision abandoned = new ConfigurationRevision(1, "eva", "abandoned", "x", 0, configuration);
        values.compareAndSwap(ConfigurationStore.HISTORY_PREFIX + 1, 0, ConfigurationCodec.encode(abandoned))
                .join();
        store.accept(configuration, 1, "ana", "second");
        assertThat(store.revision(1).get().author()).isEqualTo("ana");
    }

    /** Guards against a rollback that reuses the number of the revision whose configuration it restores. */
    @Test
    void rollbackIsANewRevisionWithOldContent() {
        store.accept(configuration, 0, "ana", "first");
        FleetConfiguration other =
                ConfigurationFolder.read(Path.of("../samples/voces-del-plata")).get();
        store.accept(other, 1, "ana", "second");
        assertThat(store.rollback(1, 2, "ana").get().revision()).isEqualTo(3);
        assertThat(store.current().get().configuration()).isEqualTo(configuration);
    }

    /** Guards against a daemon that activates a configuration with unknown or missing fields. */
    @Test
    void codecRejectsUnknownAndMissingFields() {
        byte[] content = ConfigurationCodec.encode(configuration);
        assertThat(ConfigurationCodec.decodeConfiguration(content).get()).isEqualTo(configuration);
        String text = new String(content, java.nio.charset.StandardCharsets.UTF_8);
        for (String invalid :
                new String[] {text.replaceFirst("\\{", "{\"more\":1,"), text.replace("\"slots\":3,", "")}) {
            assertThat(ConfigurationCodec.decodeConfiguration(invalid.getBytes(java.nio.charset.StandardCharsets.UTF_8))
                            .isLeft())
                    .isTrue();
        }
    }
}
