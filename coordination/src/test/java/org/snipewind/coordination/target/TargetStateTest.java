package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against keys that go unserved because their only holder refuses a part of its requests. */
final class TargetStateTest {

    private static final long NOW = 1_000_000;

    private final TargetState target =
            new TargetState(new TargetEntry("t", 1, 1, "pool", "127.0.0.1", 1, "dc-1", 2, false, 0), NOW);

    @Test
    void aTargetThatShedsIsPausedForOthersToServeButStillAnswers() {
        for (int each = 0; each < 5; each++) {
            target.refused(NOW);
        }
        assertThat(target.isPaused(NOW)).isTrue();
        assertThat(target.isUnanswering(NOW)).isFalse();
    }

    @Test
    void aTargetThatGivesNoAnswerTwiceIsTakenToBeUnreachable() {
        target.failed(NOW, false);
        assertThat(target.isUnanswering(NOW)).isFalse();
        target.failed(NOW, false);
        assertThat(target.isUnanswering(NOW)).isTrue();
    }

    @Test
    void anAnswerEndsTheTimeAsUnreachable() {
        target.failed(NOW, true);
        assertThat(target.isUnanswering(NOW)).isTrue();
        target.answered(20);
        assertThat(target.isUnanswering(NOW)).isFalse();
    }
}
