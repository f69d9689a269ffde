package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class LatencyTrackerTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final LatencyTracker tracker = new LatencyTracker(clock);

    private void answer(int count, long millis) {
        for (int answers = 0; answers < count; answers++) {
            tracker.start("request");
            clock.advance(millis);
            tracker.finish("request");
        }
    }

    /** Guards against a frozen target that looks fast because it answers nothing. */
    @Test
    void unansweredRequestsRaiseTheRecentLatency() {
        answer(30, 10);
        tracker.start("a");
        tracker.start("b");
        clock.advance(200);
        assertThat(tracker.recentLatencyMicros()).isEqualTo((8 * 10_000 + 2 * 200_000) / 10);
        assertThat(tracker.isSlow()).isTrue();
        tracker.cancel("a");
        tracker.cancel("b");
        assertThat(tracker.recentLatencyMicros()).isEqualTo(10_000);
    }

    /** Guards against a target that switches between slow and normal with every answer. */
    @Test
    void slownessEndsOnlyWellBelowWhereItBegins() {
        answer(300, 10);
        answer(4, 20);
        assertThat(tracker.isSlow()).isFalse();
        answer(10, 50);
        assertThat(tracker.isSlow()).isTrue();
        answer(10, 20);
        assertThat(tracker.isSlow()).isTrue();
        answer(20, 10);
        assertThat(tracker.isSlow()).isFalse();
    }

    /** Guards against hedges that follow latencies of long ago. */
    @Test
    void quantilesCoverOnlyTheLastAnswers() {
        answer(19, 90);
        assertThat(tracker.quantileMicros(0.95)).isEmpty();
        answer(490, 10);
        answer(22, 30);
        assertThat(tracker.quantileMicros(0.95).getAsLong()).isEqualTo(10_000);
        assertThat(tracker.quantileMicros(1).getAsLong()).isEqualTo(30_000);
    }
}
