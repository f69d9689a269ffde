package org.snipewind.clients.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class ConfigurationStoreTest {

    private final MemoryStore values = new MemoryStore();
    private final ConfigurationStore store = new ConfigurationStore(values, () -> 5);
    private final FleetConfiguration configuration =
            ConfigurationFolder.read(Path.of("../samples/jalsetu")).get();

    /** Guards against a loser that silently overwrites the winner of a race, or does not learn who won. */
    @Test
    void loserOfARaceIsToldWhoWon() {
        store.accept(configuration, 0, "ana", "first");
        values.beforeSwap = () -> store.accept(configuration, 1, "bela", "faster");
        Either<AcceptFailure, ConfigurationRevision> loser = store.accept(configuration, 1, "carlos", "slower");
        assertThat(loser.getLeft().kind()).isEqualTo(AcceptFailure.Kind.CONFLICT);
        assertThat(loser.getLeft().detail()).contains("revision 2 by bela at 1970-01-01T00:00:00.005Z (faster)");
        assertThat(store.current().get().author()).isEqualTo("bela");
    }

    /** Guards against a change that is reported as failed or made twice when the store's answer is lost. */
    @Test
    void lostAnswerAfterEffectIsSettledByTheWriter() {
        store.accept(configuration, 0, "ana", "first");
        values.lostAnswers = 2;
        assertThat(store.accept(configuration, 1, "ana", "second").get().revision())
                .isEqualTo(2);
        assertThat(store.history(10)).hasSize(2);
    }

    /** Guards against a lost answer being read as a conflict after another operator built on the change. */
    @Test
    void lostAnswerIsSettledFromTheHistoryIfTheRevisionWasReplaced() {
        store.accept(configuration, 0, "ana", "first");
        values.lostAnswers = 1;
        values.beforeSwap = () -> values.beforeSwap = () -> {
            values.lostAnswers = 0;
            store.accept(configuration, 2, "bela", "third");
        };
        assertThat(store.accept(configuration, 1, "ana", "second").isRight()).isTrue();
        assertThat(store.current().get().author()).isEqualTo("bela");
    }

    /** Guards against a history that shows an abandoned attempt in place of the revision that was current. */
    @Test
    void orphanedHistoryEntryIsReplaced() {
        store.accept(configuration, 0, "ana", "first");
        ConfigurationRevision orphan = new ConfigurationRevision(1, "eva", "abandoned", "x", 0, configuration);
        values.compareAndSwap(ConfigurationStore.HISTORY_PREFIX + 1, 0, ConfigurationCodec.encode(orphan))
                .join();
        store.accept(configuration, 1, "ana", "second");
        assertThat(store.revision(1).get().author()).isEqualTo("ana");
    }

    /** Guards against a rollback that reuses the number of the revision whose content it takes. */
    @Test
    void rollbackIsANewRevisionWithOldContent() {
        store.accept(configuration, 0, "ana", "first");
        FleetConfiguration other =
                ConfigurationFolder.read(Path.of("../samples/voces-del-plata")).get();
        store.accept(other, 1, "ana", "second");
        assertThat(store.rollback(1, 2, "ana").get().revision()).isEqualTo(3);
        assertThat(store.current().get().configuration()).isEqualTo(configuration);
    }

    /** Guards against a daemon that puts half-understood content in force. */
    @Test
    void codecRefusesUnknownAndMissingFields() {
        byte[] content = ConfigurationCodec.encode(configuration);
        assertThat(ConfigurationCodec.decodeConfiguration(content).get()).isEqualTo(configuration);
        String text = new String(content, java.nio.charset.StandardCharsets.UTF_8);
        for (String wrong : new String[] {text.replaceFirst("\\{", "{\"more\":1,"), text.replace("\"slots\":3,", "")}) {
            assertThat(ConfigurationCodec.decodeConfiguration(wrong.getBytes(java.nio.charset.StandardCharsets.UTF_8))
                            .isLeft())
                    .isTrue();
        }
    }
}
