package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests that start although the process ends before they can. */
final class ShutdownScheduleTest {

    private static final long START_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 6_000;

    private final ShutdownSchedule schedule = new ShutdownSchedule(START_MILLIS, GRACE_MILLIS);

    @Test
    void allRequestsAreServedUntilCallersHaveLearntOfTheShutdown() {
        assertThat(schedule.mayStart(START_MILLIS, 60_000)).isTrue();
        assertThat(schedule.mayStart(START_MILLIS + 2_999, 60_000)).isTrue();
        assertThat(schedule.mayStart(START_MILLIS + 3_000, 60_000)).isFalse();
    }

    @Test
    void aLateRequestStartsOnlyIfItsWholeTimeEndsBeforeTheProcess() {
        long nowMillis = START_MILLIS + 4_000;
        long leftMillis = schedule.requestEndMillis() - nowMillis;
        assertThat(schedule.mayStart(nowMillis, leftMillis)).isTrue();
        assertThat(schedule.mayStart(nowMillis, leftMillis + 1)).isFalse();
        assertThat(schedule.mayStart(schedule.requestEndMillis(), 1)).isFalse();
    }

    @Test
    void theStepsOfAShutdownAreInOrderForAnyGracePeriod() {
        for (long graceMillis = 0; graceMillis <= 30_000; graceMillis += 100) {
            ShutdownSchedule each = new ShutdownSchedule(START_MILLIS, graceMillis);
            assertThat(each.listenerCloseMillis()).isLessThan(each.requestEndMillis());
            assertThat(each.requestEndMillis()).isLessThan(each.endMillis());
            assertThat(each.endMillis()).isAtMost(START_MILLIS + graceMillis);
        }
    }
}
