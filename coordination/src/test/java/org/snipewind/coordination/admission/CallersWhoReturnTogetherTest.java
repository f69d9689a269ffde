package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Load: callers who return together. Many callers are refused at the same time, by many instances.
 *
 * <p>Guards against a second refusal of callers that all return at the same time, and against a return so late that the
 * caller gives up.
 */
final class CallersWhoReturnTogetherTest {

    private static final int INSTANCES = 80;
    private static final int REFUSED_PER_INSTANCE = 5;
    private static final long NOW = 1_000_000;
    private static final double REMAINING_MILLIS = 1_500;
    private static final double OBJECTIVE_MILLIS = 600;
    private static final double SERVICE_MILLIS = 90;
    private static final int INTERVAL_MILLIS = 25;

    private final Random random = new Random(11);

    private PoolAdmission poolWithCompletions(int perSecond) {
        PoolAdmission pool = new PoolAdmission(random::nextDouble);
        for (long at = NOW - 10_000; at < NOW; at += 1_000 / perSecond) {
            pool.onServed(new AdmissionRequest("r", 0, OBJECTIVE_MILLIS, 0, at, at + 1_500), SERVICE_MILLIS, at);
        }
        return pool;
    }

    private static long returnAfter(PoolAdmission pool, ReturnWindow window) {
        OptionalLong promised = pool.promisePlace(window, NOW);
        return promised.orElseGet(() -> pool.latestReturnMillis(window));
    }

    @Test
    void callersOfManyInstancesReturnSpreadOut() {
        ReturnWindow window = ReturnWindow.of(0, REMAINING_MILLIS, OBJECTIVE_MILLIS, SERVICE_MILLIS);
        int[] returns = new int[100];
        for (int instance = 0; instance < INSTANCES; instance++) {
            PoolAdmission pool = poolWithCompletions(5);
            for (int caller = 0; caller < REFUSED_PER_INSTANCE; caller++) {
                long delayMillis = returnAfter(pool, window);
                assertThat(delayMillis).isAtMost((long) (REMAINING_MILLIS / 3));
                assertThat(delayMillis).isAtLeast(1);
                returns[(int) delayMillis / INTERVAL_MILLIS]++;
            }
        }
        for (int interval = 0; interval < returns.length; interval++) {
            assertWithMessage("returns in interval %s", interval)
                    .that(returns[interval])
                    .isAtMost(INSTANCES * REFUSED_PER_INSTANCE / 4);
        }
    }

    @Test
    void eachPromisedPlaceIsLaterThanThoseBeforeIt() {
        ReturnWindow window = ReturnWindow.of(0, 6_000, 5_000, SERVICE_MILLIS);
        PoolAdmission pool = poolWithCompletions(10);
        long previous = 0;
        for (int caller = 0; caller < 5; caller++) {
            long place = pool.promisePlace(window, NOW).orElseThrow();
            assertThat(place - previous).isAtLeast(80);
            previous = place;
        }
    }

    @Test
    void noPlaceIsPromisedAfterAThirdOfTheRemainingTime() {
        ReturnWindow window = ReturnWindow.of(0, REMAINING_MILLIS, OBJECTIVE_MILLIS, SERVICE_MILLIS);
        PoolAdmission pool = poolWithCompletions(2);
        int promised = 0;
        while (promised < 10 && pool.promisePlace(window, NOW).isPresent()) {
            promised++;
        }
        assertThat(promised).isAtLeast(1);
        assertThat(promised).isAtMost(2);
        long latest = pool.latestReturnMillis(window);
        assertThat(latest).isAtMost((long) (REMAINING_MILLIS / 3));
        assertThat(latest).isAtLeast((long) (REMAINING_MILLIS / 3 * 0.7));
    }

    /** Guards against a caller that returns before its deadline but too late to be served. */
    @Test
    void aCallerWithLittleTimeIsToldToReturnWhileItCanStillBeServed() {
        ReturnWindow window = ReturnWindow.of(0, 120, -400, SERVICE_MILLIS);
        assertThat(window.latestMillis()).isAtMost(120 - SERVICE_MILLIS);
        assertThat(window.earliestMillis()).isAtMost(window.latestMillis());
    }

    @Test
    void fewerCallersAreRefusedTwiceThanWithAFixedTime() {
        PoolModel.Kind kind = new PoolModel.Kind("r", 0, SERVICE_MILLIS, OBJECTIVE_MILLIS, REMAINING_MILLIS);
        PoolModel.Result fixed = wave(kind, false);
        PoolModel.Result decided = wave(kind, true);
        assertThat(fixed.refusedTwice).isGreaterThan(0);
        assertThat(decided.refusedTwice).isLessThan(fixed.refusedTwice * 3 / 4);
        assertThat(decided.value()).isAtLeast(fixed.value());
    }

    /** Runs a pool with 40 slots to which a wave of requests comes within 100 ms. */
    private static PoolModel.Result wave(PoolModel.Kind kind, boolean decides) {
        PoolModel model = new PoolModel(20, 2, INSTANCES, decides, 5);
        model.offer(kind, 250, 0, 6_000);
        model.offer(kind, 3_000, 3_000, 3_100);
        return model.run().get(kind.route());
    }
}
