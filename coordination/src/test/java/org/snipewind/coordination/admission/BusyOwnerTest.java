package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Load: a busy owner of keys, which gets 0.7 to 1.2 times the requests that it can serve, from 9 or 80 instances.
 *
 * <p>Guards against callers that come back after the time of one service, when the owner has no room yet, and are
 * refused again.
 */
final class BusyOwnerTest {

    private static final double SERVICE_MILLIS = 90;
    private static final double CAPACITY_PER_SECOND = 2 / SERVICE_MILLIS * 1_000;
    private static final int SEEDS = 10;

    private static PoolModel.Result run(boolean decides, double objectiveMillis, double load, int instances) {
        PoolModel.Result total = new PoolModel.Result();
        for (long seed = 1; seed <= SEEDS; seed++) {
            PoolModel model = new PoolModel(1, 2, instances, decides, seed);
            PoolModel.Kind kind = new PoolModel.Kind("r", 0, SERVICE_MILLIS, objectiveMillis, 1_582);
            model.offer(kind, CAPACITY_PER_SECOND * load, 0, 30_000);
            total.add(model.run().get("r"));
        }
        return total;
    }

    @Test
    void fewerCallersAreRefusedTwiceWithoutLossOfValue() {
        for (double objectiveMillis : new double[] {300, 633}) {
            for (double load : new double[] {0.7, 0.9, 1.2}) {
                for (int instances : new int[] {9, 80}) {
                    PoolModel.Result former = run(false, objectiveMillis, load, instances);
                    PoolModel.Result decided = run(true, objectiveMillis, load, instances);
                    String what = "objective " + objectiveMillis + ", load " + load + ", instances " + instances;
                    assertWithMessage(what).that(decided.refusals).isLessThan(former.refusals);
                    assertWithMessage(what).that(decided.refusedTwice).isLessThan(former.refusedTwice);
                    assertWithMessage(what).that(decided.value()).isAtLeast(former.value() * 0.98);
                }
            }
        }
    }
}
