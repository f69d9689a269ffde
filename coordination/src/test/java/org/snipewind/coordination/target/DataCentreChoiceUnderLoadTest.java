package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pattern: three data centres with targets of uneven speed, a fifth of which is slow at any time.
 *
 * <p>Guards against responses that cross between data centres without need, against a data centre that queues its
 * requests while others are free, and against load that moves back and forth between data centres.
 */
final class DataCentreChoiceUnderLoadTest {

    private static final double CAPACITY = SimulatedDataCentres.CAPACITY_PER_SECOND;
    private static final double SMALL_LINK = 10;
    private static final double LARGE_LINK = 1_000;
    private static final long DURATION_MILLIS = 26_000;
    private static final double WAVE_PERIOD_MILLIS = 13_000;

    private static SimulatedDataCentres simulate(
            int seed, double linkMegabits, boolean largeBodies, SimulatedDataCentres.ArrivalRate rate) {
        SimulatedDataCentres simulation =
                new SimulatedDataCentres(seed, linkMegabits, largeBodies, place -> 0.5 + 1.1 * place);
        simulation.run(rate, DURATION_MILLIS);
        return simulation;
    }

    private static double wave(int dataCentre, long nowMillis) {
        double phase = nowMillis / WAVE_PERIOD_MILLIS + dataCentre / 3.0;
        return 0.6 * CAPACITY * (1 + 0.55 * Math.sin(2 * Math.PI * phase));
    }

    @Test
    void anEvenLoadStaysInItsDataCentre() {
        SimulatedDataCentres.seeds().forEach(seed -> {
            SimulatedDataCentres result = simulate(seed, SMALL_LINK, false, (dataCentre, nowMillis) -> 0.5 * CAPACITY);
            assertWithMessage(result.describe()).that(result.remoteShare()).isLessThan(0.02);
            assertWithMessage(result.describe()).that(result.inTimeShare()).isGreaterThan(0.92);
        });
    }

    @Test
    void aWaveThatReachesTheDataCentresOneAfterTheOtherSpillsOnlyItsCrest() {
        SimulatedDataCentres.seeds().forEach(seed -> {
            SimulatedDataCentres result = simulate(seed, SMALL_LINK, false, DataCentreChoiceUnderLoadTest::wave);
            assertWithMessage(result.describe()).that(result.remoteShare()).isLessThan(0.15);
            assertWithMessage(result.describe()).that(result.remoteShare()).isGreaterThan(0.01);
            assertWithMessage(result.describe()).that(result.inTimeShare()).isGreaterThan(0.82);
        });
    }

    @Test
    void theExcessOfOneDataCentreIsServedByTheOthersWithoutOscillation() {
        SimulatedDataCentres.seeds().forEach(seed -> {
            SimulatedDataCentres result = simulate(
                    seed, SMALL_LINK, false, (dataCentre, nowMillis) -> (dataCentre == 0 ? 1.3 : 0.3) * CAPACITY);
            assertWithMessage(result.describe()).that(result.inTimeShare()).isGreaterThan(0.78);
            assertWithMessage(result.describe()).that(result.remoteShare()).isLessThan(0.4);
            List<Double> shares = result.remoteShares();
            List<Double> settled = shares.subList(3, shares.size() - 2);
            assertWithMessage("shares by second " + settled)
                    .that(settled.stream()
                            .filter(share -> share < 0.08 || share > 0.5)
                            .count())
                    .isAtMost(settled.size() / 10);
        });
    }

    @Test
    void aLoadAboveTheCapacityOfAllDataCentresIsServedNoWorseThanWithAFixedWeighting() {
        SimulatedDataCentres.seeds().forEach(seed -> {
            SimulatedDataCentres.ArrivalRate rate = (dataCentre, nowMillis) -> 1.2 * CAPACITY;
            SimulatedDataCentres result = simulate(seed, SMALL_LINK, false, rate);
            SimulatedDataCentres weighted = simulate(seed, LARGE_LINK, false, rate);
            assertWithMessage(result.describe() + " weighted " + weighted.describe())
                    .that(result.inTimeShare())
                    .isGreaterThan(weighted.inTimeShare() * 0.95);
        });
    }

    @Test
    void largeBodiesUnderAWaveLeaveFarMoreRarelyForAShorterResponseTime() {
        SimulatedDataCentres.seeds().forEach(seed -> {
            SimulatedDataCentres small = simulate(seed, SMALL_LINK, false, DataCentreChoiceUnderLoadTest::wave);
            SimulatedDataCentres large = simulate(seed, SMALL_LINK, true, DataCentreChoiceUnderLoadTest::wave);
            assertWithMessage(large.describe() + " small " + small.describe())
                    .that(large.spillovers(SpilloverReason.LOCAL_LATE))
                    .isLessThan(small.spillovers(SpilloverReason.LOCAL_LATE) / 3);
            assertWithMessage(large.describe()).that(large.inTimeShare()).isGreaterThan(0.8);
        });
    }

    /** Guards against a changed behaviour of deployments whose links are large. */
    @Test
    void instancesWithLargeLinksKeepTheFixedWeighting() {
        SimulatedDataCentres result = simulate(1, LARGE_LINK, false, (dataCentre, nowMillis) -> 0.5 * CAPACITY);
        assertThat(result.remoteShare()).isGreaterThan(0.3);
        assertThat(result.spillovers(SpilloverReason.LOCAL_FULL)).isEqualTo(0);
    }
}
