package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Guards against requests to a target that has said that it is leaving or wants none for some time. */
final class TargetNoticesTest {

    private static final int STEPS = 200;

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final long timeOfDayMillis = 1_000_000;
    private final TargetNotices notices = new TargetNotices(clock, () -> timeOfDayMillis);

    @Test
    void leavingIsFinalForAnIncarnationAndUnknownOfTheNext() {
        assertThat(notices.recordLeaving("a@1")).isTrue();
        assertThat(notices.recordLeaving("a@1")).isFalse();
        notices.recordPause("a@1", 10);
        clock.advance(1_000_000);
        assertThat(notices.isLeaving("a@1")).isTrue();
        assertThat(notices.isLeaving("a@2")).isFalse();
    }

    @Test
    void aPauseIsLengthenedButNeverShortened() {
        notices.recordPause("a@1", 500);
        notices.recordPause("a@1", 200);
        assertThat(notices.pauseRemainingMillis("a@1")).isEqualTo(500);
        notices.recordPause("a@1", 800);
        assertThat(notices.pauseRemainingMillis("a@1")).isEqualTo(800);
    }

    @Test
    void requestsArePacedForSomeTimeAfterAPause() {
        assertThat(notices.isResuming("a@1")).isFalse();
        notices.recordPause("a@1", 500);
        assertThat(notices.isResuming("a@1")).isFalse();
        clock.advance(500);
        assertThat(notices.isResuming("a@1")).isTrue();
        clock.advance(TargetNotices.RESUMPTION_MILLIS);
        assertThat(notices.isResuming("a@1")).isFalse();
    }

    @Test
    void aPauseOfAnyLengthEndsNoEarlierThanADay() {
        notices.recordPause("a@1", Long.MAX_VALUE);
        clock.advance(23L * 60 * 60 * 1_000);
        assertThat(notices.pauseRemainingMillis("a@1")).isGreaterThan(0);
    }

    /**
     * A target that had started again under its id wanted no requests before its new start was known, and got them as
     * soon as it was.
     */
    @Test
    void aPauseHoldsForAProcessThatMayHaveAskedForItBeforeItsStartWasKnown() {
        notices.recordPause("a@1", 5_000);
        assertThat(notices.pauseRemainingMillis("a@" + (timeOfDayMillis - 300))).isEqualTo(5_000);
        // The times of day of two machines may differ.
        assertThat(notices.pauseRemainingMillis("a@" + (timeOfDayMillis + 1_500)))
                .isEqualTo(5_000);
        clock.advance(5_000);
        assertThat(notices.isResuming("a@" + (timeOfDayMillis - 300))).isTrue();
    }

    @Test
    void aPauseDoesNotHoldForAProcessThatStartedLaterOrForAnotherTarget() {
        notices.recordPause("a@1", 60_000);
        assertThat(notices.pauseRemainingMillis("a@" + (timeOfDayMillis + 10_000)))
                .isEqualTo(0);
        assertThat(notices.pauseRemainingMillis("b@1")).isEqualTo(0);
    }

    /** Compares random orders of notices, restarts and time with a model that keeps every notice. */
    @Property(tries = 300)
    void everyNoticeIsInForceUntilItsEnd(@ForAll long seed) {
        Random random = new Random(seed);
        ManualMillisClock modelClock = new ManualMillisClock(1_000);
        // All starts are long after the notices, so that none is of a process that is not registered yet.
        TargetNotices checked = new TargetNotices(modelClock, () -> -100_000);
        Set<String> leaving = new HashSet<>();
        Map<String, Long> pausedUntil = new HashMap<>();
        int[] starts = new int[3];
        for (int step = 0; step < STEPS; step++) {
            int target = random.nextInt(starts.length);
            String incarnation = target + "@" + starts[target];
            switch (random.nextInt(4)) {
                case 0 -> assertThat(checked.recordLeaving(incarnation)).isEqualTo(leaving.add(incarnation));
                case 1 -> {
                    long pauseMillis = random.nextInt(3_000);
                    checked.recordPause(incarnation, pauseMillis);
                    pausedUntil.merge(incarnation, modelClock.nowMillis() + pauseMillis, Math::max);
                }
                case 2 -> starts[target] += random.nextInt(2);
                default -> modelClock.advance(random.nextInt(700));
            }
            for (int each = 0; each < starts.length; each++) {
                String name = each + "@" + starts[each];
                long remaining = Math.max(0, pausedUntil.getOrDefault(name, 0L) - modelClock.nowMillis());
                assertWithMessage("leaving %s", name)
                        .that(checked.isLeaving(name))
                        .isEqualTo(leaving.contains(name));
                assertWithMessage("pause of %s", name)
                        .that(checked.pauseRemainingMillis(name))
                        .isEqualTo(remaining);
            }
        }
    }
}
