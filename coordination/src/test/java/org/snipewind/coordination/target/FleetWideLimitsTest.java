package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/**
 * Guards against instances that together send more requests to a target in cold start than it can serve, or more
 * retries than are allowed.
 */
final class FleetWideLimitsTest {

    private static final double COLD_START_RATE_PER_SECOND = 11;
    private static final double MAX_REQUESTS_IN_ONE_SECOND = COLD_START_RATE_PER_SECOND * 1.5 + 5;

    @Test
    void allInstancesTogetherStayWithinTheColdStartRateInEachSecond() {
        for (int fleetSize : new int[] {1, 2, 9, 86}) {
            ManualMillisClock clock = new ManualMillisClock(1_000);
            List<String> names = IntStream.range(0, fleetSize)
                    .mapToObj(index -> "entry-" + index)
                    .toList();
            List<ColdStartRateLimiter> limiters = names.stream()
                    .map(name -> ColdStartRateLimiter.forInstance(
                            clock, COLD_START_RATE_PER_SECOND, 9, name, names, "target-1", fleetSize))
                    .toList();
            List<Long> sent = new ArrayList<>();
            for (int step = 0; step < 400; step++) {
                limiters.stream()
                        .filter(ColdStartRateLimiter::tryAcquire)
                        .forEach(limiter -> sent.add(clock.nowMillis()));
                clock.advance(10);
            }
            for (long start : sent) {
                long inSecond = sent.stream()
                        .filter(at -> at >= start && at < start + 1_000)
                        .count();
                assertThat((double) inSecond).isAtMost(MAX_REQUESTS_IN_ONE_SECOND);
            }
            assertThat(sent).isNotEmpty();
        }
    }

    @Test
    void onlyTheChosenInstancesMaySend() {
        ManualMillisClock clock = new ManualMillisClock(0);
        List<String> names =
                IntStream.range(0, 30).mapToObj(index -> "entry-" + index).toList();
        long senders = names.stream()
                .map(name -> ColdStartRateLimiter.forInstance(
                        clock, COLD_START_RATE_PER_SECOND, 9, name, names, "target-1", 30))
                .filter(ColdStartRateLimiter::canAcquire)
                .count();
        assertThat(senders).isEqualTo(9);
    }

    @Test
    void retriesStayWithinTheirFractionOfFirstAttemptsPlusTheAllowance() {
        ManualMillisClock clock = new ManualMillisClock(0);
        WindowedRetryBudget budget = new WindowedRetryBudget(clock, 10_000, 0.2);
        IntStream.range(0, 50).forEach(each -> budget.recordFirstAttempt());
        long retries =
                IntStream.range(0, 100).filter(each -> budget.tryAcquire(4)).count();
        assertThat(retries).isEqualTo(14);
        clock.advance(10_001);
        assertThat(IntStream.range(0, 10).filter(each -> budget.tryAcquire(4)).count())
                .isEqualTo(4);
    }
}
