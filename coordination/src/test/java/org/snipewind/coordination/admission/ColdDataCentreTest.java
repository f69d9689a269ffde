package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Load: a cold data centre. The targets of a data centre return and take only few requests per second for some seconds,
 * while the others lack room.
 *
 * <p>Guards against callers that are told to return before a place becomes free at the rate of the cold start, and
 * against refusals that go on after it.
 */
final class ColdDataCentreTest {

    private static final PoolModel.Kind KIND = new PoolModel.Kind("r", 0, 90, 600, 1_500);
    private static final long COLD_MILLIS = 4_000;

    private static PoolModel.Result run(boolean decides, long seed) {
        PoolModel model = new PoolModel(18, 2, 40, decides, seed);
        for (int target = 0; target < 12; target++) {
            model.setCold(target, 3, COLD_MILLIS);
        }
        model.offer(KIND, 230, 0, 12_000);
        return model.run().get(KIND.route());
    }

    @Test
    void fewerCallersAreRefusedWhileADataCentreIsCold() {
        PoolModel.Result fixed = new PoolModel.Result();
        PoolModel.Result decided = new PoolModel.Result();
        for (long seed = 1; seed <= 5; seed++) {
            fixed.add(run(false, seed));
            decided.add(run(true, seed));
        }
        assertThat(decided.refusals).isAtMost((int) (fixed.refusals * 0.85));
        assertThat(decided.refusedTwice).isLessThan(fixed.refusedTwice);
        assertThat(decided.value()).isAtLeast(fixed.value() * 0.99);
    }

    @Test
    void thePoolServesAllRequestsAfterTheColdStart() {
        PoolModel model = new PoolModel(18, 2, 40, true, 9);
        for (int target = 0; target < 12; target++) {
            model.setCold(target, 3, COLD_MILLIS);
        }
        PoolModel.Kind later = new PoolModel.Kind("later", 0, 90, 600, 1_500);
        model.offer(KIND, 230, 0, COLD_MILLIS);
        model.offer(later, 230, COLD_MILLIS + 1_500, 12_000);
        Map<String, PoolModel.Result> results = model.run();
        assertThat(results.get("r").refusals).isGreaterThan(0);
        assertThat(results.get("later").refusals).isEqualTo(0);
    }

    /** Guards against returns within the time of a single place when the pool completes hardly any request. */
    @Test
    void aPoolWithoutCompletionsPromisesOnePlaceOnly() {
        PoolAdmission pool = new PoolAdmission(() -> 0.5);
        ReturnWindow window = ReturnWindow.of(0, 1_500, 600, 90);
        long now = 1_000_000;
        assertThat(pool.promisePlace(window, now).isPresent()).isTrue();
        assertThat(pool.promisePlace(window, now).isPresent()).isFalse();
        assertThat(pool.latestReturnMillis(window)).isGreaterThan(375);
    }
}
