package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Load: a burst of 1.7 times for 3 s, in a pool that works at 0.8 of its capacity before and after it.
 *
 * <p>Guards against requests that are refused at once although a place becomes free a moment later, and against callers
 * that come back into the burst and are refused again.
 */
final class BurstTest {

    private static final double SERVICE_MILLIS = 90;
    private static final double CAPACITY_PER_SECOND = 40 / SERVICE_MILLIS * 1_000;
    private static final double USUAL_PER_SECOND = CAPACITY_PER_SECOND * 0.8;
    private static final double[] OBJECTIVES = {250, 600};

    private static PoolModel.Kind kind(double objectiveMillis) {
        return new PoolModel.Kind("r", 0, SERVICE_MILLIS, objectiveMillis, 1_500);
    }

    private static PoolModel.Result burst(double objectiveMillis, boolean decides, int instances, long seed) {
        PoolModel model = new PoolModel(20, 2, instances, decides, seed);
        model.offer(kind(objectiveMillis), USUAL_PER_SECOND, 0, 15_000);
        model.offer(kind(objectiveMillis), USUAL_PER_SECOND * 0.7, 5_000, 8_000);
        return model.run().get("r");
    }

    @Test
    void fewerRequestsAreRefusedThanWithAFixedTimeWithoutLossOfValue() {
        for (int instances : new int[] {9, 80}) {
            for (double objectiveMillis : OBJECTIVES) {
                PoolModel.Result fixed = new PoolModel.Result();
                PoolModel.Result decided = new PoolModel.Result();
                for (long seed = 1; seed <= 5; seed++) {
                    fixed.add(burst(objectiveMillis, false, instances, seed));
                    decided.add(burst(objectiveMillis, true, instances, seed));
                }
                String load = "instances " + instances + ", objective " + objectiveMillis;
                assertWithMessage(load).that(decided.refusals).isAtMost((int) (fixed.refusals * 0.9));
                assertWithMessage(load).that(decided.value()).isAtLeast(fixed.value() * 0.99);
            }
        }
    }

    /** Guards against late callers that displace new ones, which then return late, as long as the excess lasts. */
    @Test
    void mostOfTheCapacityServesRequestsInTimeDuringALongExcess() {
        for (int instances : new int[] {9, 80}) {
            PoolModel model = new PoolModel(20, 2, instances, true, 1);
            model.offer(kind(600), CAPACITY_PER_SECOND * 1.3, 0, 15_000);
            PoolModel.Result result = model.run().get("r");
            assertWithMessage("instances %s", instances).that(result.inTime).isAtLeast((int)
                    (CAPACITY_PER_SECOND * 15 * 0.95));
        }
    }

    @Test
    void noRequestIsHeldForLongerThanAnEighthOfItsObjective() {
        PoolModel.Result result = burst(250, true, 80, 3);
        assertThat(result.longestWaitMillis).isGreaterThan(0);
        assertThat(result.longestWaitMillis).isAtMost((long) (250 / 8));
    }

    /** Guards against decisions that change where there is room. */
    @Test
    void nothingIsRefusedOrHeldWithoutABurst() {
        PoolModel model = new PoolModel(20, 2, 9, true, 4);
        model.offer(kind(250), CAPACITY_PER_SECOND / 2, 0, 15_000);
        PoolModel.Result result = model.run().get("r");
        assertThat(result.refusals).isEqualTo(0);
        assertThat(result.longestWaitMillis).isEqualTo(0);
        assertThat(result.inTime).isEqualTo(result.requests);
    }
}
