package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Guards against instances that together send a cold target more than it bears, or repeat more than is allowed. */
final class FleetWidePaceTest {

    private static final double BORNE_PER_SECOND = 11;
    private static final double ALLOWED_IN_ONE_SECOND = BORNE_PER_SECOND * 1.5 + 5;

    @Test
    void allInstancesTogetherKeepAColdTargetsPaceInEachSecond() {
        for (int fleet : new int[] {1, 2, 9, 86}) {
            ManualMillisClock clock = new ManualMillisClock(1_000);
            List<String> names = IntStream.range(0, fleet)
                    .mapToObj(index -> "entry-" + index)
                    .toList();
            List<ColdStartRateLimiter> paces = names.stream()
                    .map(name -> ColdStartRateLimiter.forInstance(
                            clock, BORNE_PER_SECOND, 9, name, names, "target-1", fleet))
                    .toList();
            List<Long> sent = new ArrayList<>();
            for (int step = 0; step < 400; step++) {
                paces.stream().filter(ColdStartRateLimiter::tryAcquire).forEach(pace -> sent.add(clock.nowMillis()));
                clock.advance(10);
            }
            for (long start : sent) {
                long inSecond = sent.stream()
                        .filter(at -> at >= start && at < start + 1_000)
                        .count();
                assertThat((double) inSecond).isAtMost(ALLOWED_IN_ONE_SECOND);
            }
            assertThat(sent).isNotEmpty();
        }
    }

    @Test
    void anInstanceOutsideTheSharersSendsNothing() {
        ManualMillisClock clock = new ManualMillisClock(0);
        List<String> names =
                IntStream.range(0, 30).mapToObj(index -> "entry-" + index).toList();
        long sharing = names.stream()
                .map(name -> ColdStartRateLimiter.forInstance(clock, BORNE_PER_SECOND, 9, name, names, "target-1", 30))
                .filter(ColdStartRateLimiter::canAcquire)
                .count();
        assertThat(sharing).isEqualTo(9);
    }

    @Test
    void repeatsStayWithinTheirShareOfFirstSendsAndTheAllowance() {
        ManualMillisClock clock = new ManualMillisClock(0);
        WindowedRetryBudget budget = new WindowedRetryBudget(clock, 10_000, 0.2);
        IntStream.range(0, 50).forEach(each -> budget.recordFirstAttempt());
        long taken =
                IntStream.range(0, 100).filter(each -> budget.tryAcquire(4)).count();
        assertThat(taken).isEqualTo(14);
        clock.advance(10_001);
        assertThat(IntStream.range(0, 10).filter(each -> budget.tryAcquire(4)).count())
                .isEqualTo(4);
    }
}
