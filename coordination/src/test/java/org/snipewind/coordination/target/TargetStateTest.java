package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against keys that go unserved because their only holder refuses a part of its requests. */
final class TargetStateTest {

    private static final long NOW = 1_000_000;

    private final TargetState target =
            new TargetState(new TargetRegistration("t", 1, 1, "pool", "127.0.0.1", 1, "dc-1", 2, false, 0), NOW);

    @Test
    void aTargetThatShedsIsPausedForOthersToServeButStillAnswers() {
        for (int each = 0; each < 5; each++) {
            target.onErrorResponse(NOW);
        }
        assertThat(target.isPaused(NOW)).isTrue();
        assertThat(target.isUnresponsive(NOW)).isFalse();
    }

    @Test
    void aTargetThatGivesNoAnswerTwiceIsTakenToBeUnreachable() {
        target.onNoResponse(NOW, false);
        assertThat(target.isUnresponsive(NOW)).isFalse();
        target.onNoResponse(NOW, false);
        assertThat(target.isUnresponsive(NOW)).isTrue();
    }

    @Test
    void anAnswerEndsTheTimeAsUnreachable() {
        target.onNoResponse(NOW, true);
        assertThat(target.isUnresponsive(NOW)).isTrue();
        target.onResponse(20);
        assertThat(target.isUnresponsive(NOW)).isFalse();
    }
}
