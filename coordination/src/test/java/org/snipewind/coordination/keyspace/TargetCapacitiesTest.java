package org.snipewind.coordination.keyspace;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against wrong assumptions on targets that have not been measured, as after a change of the leader. */
final class TargetCapacitiesTest {

    private final TargetCapacities capacities = new TargetCapacities(40);

    /** Guards against a target that looks three times faster than the others because it has no measurement. */
    @Test
    void aTargetWithoutMeasurementsIsAssumedToBeLikeTheMeanOfThoseMeasured() {
        capacities.recordServiceTime("a@1", 40, 100);
        capacities.recordServiceTime("b@1", 40, 300);
        double mean = capacities.meanServiceMillis(List.of("a@1", "b@1", "new@1"));
        assertThat(mean).isWithin(0.1).of(200);
        assertThat(capacities.capacityPerSecond("new@1", 3, mean)).isWithin(0.1).of(15);
        assertThat(capacities.capacityPerSecond("b@1", 3, mean)).isWithin(0.1).of(10);
    }

    @Test
    void withoutAnyMeasurementADefaultIsAssumed() {
        assertThat(capacities.meanServiceMillis(List.of("a@1"))).isEqualTo(TargetCapacities.DEFAULT_SERVICE_MILLIS);
    }

    /** Guards against the service times of another pool in the mean of this one. */
    @Test
    void targetsOfOtherPoolsDoNotCount() {
        capacities.recordServiceTime("a@1", 40, 100);
        capacities.recordServiceTime("other@1", 40, 900);
        assertThat(capacities.meanServiceMillis(List.of("a@1"))).isWithin(0.1).of(100);
        capacities.retain(Set.of("a@1"));
        assertThat(capacities.meanServiceMillis(List.of("a@1", "other@1")))
                .isWithin(0.1)
                .of(100);
    }

    /** Load: slow moments. Guards against a capacity that changes with a few responses. */
    @Test
    void aFewSlowResponsesChangeTheEstimateLittle() {
        capacities.recordServiceTime("a@1", 60, 100);
        capacities.recordServiceTime("a@1", 4, 300);
        assertThat(capacities.capacityPerSecond("a@1", 1, 100)).isGreaterThan(8.0);
    }
}
