package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class LatencyTrackerTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final LatencyTracker tracker = new LatencyTracker(clock);

    private void completeRequests(int count, long latencyMillis) {
        for (int responses = 0; responses < count; responses++) {
            tracker.start("request");
            clock.advance(latencyMillis);
            tracker.finish("request");
        }
    }

    /** Guards against an unresponsive target that seems fast because no slow response is recorded. */
    @Test
    void requestsInFlightRaiseTheRecentLatency() {
        completeRequests(30, 10);
        tracker.start("a");
        tracker.start("b");
        clock.advance(200);
        assertThat(tracker.recentLatencyMicros()).isEqualTo((8 * 10_000 + 2 * 200_000) / 10);
        assertThat(tracker.isSlow()).isTrue();
        tracker.cancel("a");
        tracker.cancel("b");
        assertThat(tracker.recentLatencyMicros()).isEqualTo(10_000);
    }

    /** Guards against a target that switches between slow and normal with every response. */
    @Test
    void slowTargetRecoversAtALowerLatencyThanTheOneThatMadeItSlow() {
        completeRequests(300, 10);
        completeRequests(4, 20);
        assertThat(tracker.isSlow()).isFalse();
        completeRequests(10, 50);
        assertThat(tracker.isSlow()).isTrue();
        completeRequests(10, 20);
        assertThat(tracker.isSlow()).isTrue();
        completeRequests(20, 10);
        assertThat(tracker.isSlow()).isFalse();
    }

    /** Guards against hedge delays that are based on outdated latencies. */
    @Test
    void quantilesCoverOnlyTheLatestResponses() {
        completeRequests(19, 90);
        assertThat(tracker.quantileMicros(0.95)).isEmpty();
        completeRequests(490, 10);
        completeRequests(22, 30);
        assertThat(tracker.quantileMicros(0.95).getAsLong()).isEqualTo(10_000);
        assertThat(tracker.quantileMicros(1).getAsLong()).isEqualTo(30_000);
    }
}
