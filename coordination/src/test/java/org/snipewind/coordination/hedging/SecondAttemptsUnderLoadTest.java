package org.snipewind.coordination.hedging;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Guards against second attempts that don't shorten the tail, that exceed their share, or that add work to a pool that
 * has no free capacity. Each instance has 5 requests per second of the pool.
 */
final class SecondAttemptsUnderLoadTest {

    private static final long SEED = 34;
    private static final double SHARE = 0.05;
    private static final long DURATION_MILLIS = 60_000;
    private static final long CHANGE_MILLIS = 30_000;

    /** Twice the fraction of slow targets. */
    private static final double AMPLE_SHARE = 0.1;

    /** Time in which an instance with 5 requests per second notices that the pool has no free capacity. */
    private static final long NOTICE_MILLIS = 1_000;

    /** A quarter of the capacity. */
    private static final LongToDoubleFunction USUAL_LOAD = now -> 100;

    private static final SimulatedPool.Slowdown NO_SLOWDOWN = (target, now) -> 1;

    /** One target of twenty at a time takes ten times as long; it changes every 400 ms. */
    private static final SimulatedPool.Slowdown FEW_SLOW =
            (target, now) -> Math.floorMod(now / 400 * 7, SimulatedPool.TARGETS) == target ? 10 : 1;

    @Test
    void withAFewSlowTargetsTheTailIsShorter() {
        long p99Without = 0;
        long p99With = 0;
        // A single run has 60 requests beyond the 99th percentile, too few for a comparison.
        for (long seed = SEED; seed < SEED + 5; seed++) {
            SimulatedPool without = new SimulatedPool(seed, 0, USUAL_LOAD, FEW_SLOW).run(DURATION_MILLIS);
            SimulatedPool with = new SimulatedPool(seed, AMPLE_SHARE, USUAL_LOAD, FEW_SLOW).run(DURATION_MILLIS);
            p99Without += without.quantileMillis(0.99);
            p99With += with.quantileMillis(0.99);
            assertThat(with.secondAttemptTimes.size()).isAtMost((int) (AMPLE_SHARE * with.requests));
            assertThat(with.quantileMillis(0.5)).isAtMost(without.quantileMillis(0.5) + 2);
        }
        assertThat(p99With).isLessThan(p99Without * 2 / 3);
    }

    @Test
    void withNoiseAloneTheShareIsKept() {
        SimulatedPool pool = run(SHARE, USUAL_LOAD, NO_SLOWDOWN);
        assertThat(pool.secondAttemptTimes.size()).isAtMost((int) (SHARE * pool.requests));
    }

    /** After some seconds the longer times are the usual ones of the route, and single requests stand out again. */
    @Test
    void whenAllTargetsAreSlowNoSecondAttemptIsSent() {
        SimulatedPool pool = run(SHARE, USUAL_LOAD, (target, now) -> now >= CHANGE_MILLIS ? 3 : 1);
        assertThat(pool.secondAttemptsBetween(CHANGE_MILLIS + NOTICE_MILLIS, CHANGE_MILLIS + 10_000))
                .isEqualTo(0);
    }

    @Test
    void inABurstNoSecondAttemptIsSent() {
        LongToDoubleFunction load = now -> now >= CHANGE_MILLIS && now < CHANGE_MILLIS + 3_000 ? 650 : 100;
        SimulatedPool pool = run(SHARE, load, NO_SLOWDOWN);
        assertThat(pool.secondAttemptsBetween(CHANGE_MILLIS + NOTICE_MILLIS, CHANGE_MILLIS + 3_000))
                .isEqualTo(0);
        assertThat(pool.secondAttemptsBetween(CHANGE_MILLIS + 10_000, DURATION_MILLIS))
                .isGreaterThan(0);
    }

    private static SimulatedPool run(double share, LongToDoubleFunction load, SimulatedPool.Slowdown slowdown) {
        return new SimulatedPool(SEED, share, load, slowdown).run(DURATION_MILLIS);
    }
}
