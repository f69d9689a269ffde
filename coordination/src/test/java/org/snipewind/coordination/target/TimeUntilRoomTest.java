package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are held although no target can have room in time, or are refused although one has room
 * in a moment.
 */
final class TimeUntilRoomTest {

    private static final long NOW = 1_000_000;
    private static final double QUEUED_PER_SLOT = 2.5;
    private static final double ALLOWED_MILLIS = 240;

    private static TargetState target() {
        TargetState target =
                new TargetState(new TargetRegistration("t", 1, 1, "pool", "127.0.0.1", 1, "dc-1", 2, false, 0), NOW);
        target.onResponse(90, NOW);
        return target;
    }

    @Test
    void aTargetHasRoomAtTheExpectedTimeAndNotLongBefore() {
        Random random = new Random(3);
        for (int each = 0; each < 500; each++) {
            TargetState target = target();
            int instances = 1 + random.nextInt(80);
            for (int report = 0; report < 2; report++) {
                target.onLoadReport(new LoadReport(2, random.nextInt(9), 2, 1), NOW);
            }
            target.onRequestSent(NOW);
            double until = target.millisUntilRoom(NOW, ALLOWED_MILLIS, QUEUED_PER_SLOT, instances);
            if (until == 0) {
                assertThat(target.hasRoom(NOW, ALLOWED_MILLIS, QUEUED_PER_SLOT, instances))
                        .isTrue();
                continue;
            }
            long expected = NOW + (long) Math.ceil(until) + 1;
            assertThat(target.hasRoom(expected, ALLOWED_MILLIS, QUEUED_PER_SLOT, instances))
                    .isTrue();
            long before = NOW + (long) (until / 2);
            assertThat(target.hasRoom(before, ALLOWED_MILLIS, QUEUED_PER_SLOT, instances))
                    .isFalse();
        }
    }

    @Test
    void ownRequestsLeaveRoomOnlyAfterResponses() {
        TargetState target = target();
        for (int each = 0; each < 7; each++) {
            target.onRequestSent(NOW);
        }
        assertThat(target.hasRoom(NOW + 10_000, ALLOWED_MILLIS, QUEUED_PER_SLOT, 1))
                .isFalse();
        assertThat(target.millisUntilRoom(NOW, ALLOWED_MILLIS, QUEUED_PER_SLOT, 1))
                .isEqualTo(45.0);
    }
}
