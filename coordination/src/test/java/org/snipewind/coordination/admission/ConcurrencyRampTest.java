package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class ConcurrencyRampTest {

    private static ConcurrencyRamp rampAtFullLimit() {
        ConcurrencyRamp ramp = new ConcurrencyRamp(4, 1, 5);
        ramp.onIncarnation("first");
        recordSuccesses(ramp, 15, 1_000);
        assertThat(ramp.limit()).isEqualTo(4);
        return ramp;
    }

    private static void recordSuccesses(ConcurrencyRamp ramp, int count, long latencyMicros) {
        for (int responses = 0; responses < count; responses++) {
            ramp.onSuccess(latencyMicros);
        }
    }

    private static int limitAfter(Consumer<ConcurrencyRamp> event) {
        ConcurrencyRamp ramp = rampAtFullLimit();
        event.accept(ramp);
        return ramp.limit();
    }

    /** Guards against full load on a target that is in cold start again. */
    @Test
    void eachIndicationOfAColdStartRestartsTheRamp() {
        assertThat(limitAfter(ConcurrencyRamp::onShed)).isEqualTo(1);
        assertThat(limitAfter(ConcurrencyRamp::onConnectionFailure)).isEqualTo(1);
        assertThat(limitAfter(ramp -> ramp.onIncarnation("second"))).isEqualTo(1);
        assertThat(limitAfter(ramp -> recordSuccesses(ramp, 3, 3_200))).isEqualTo(1);
    }

    /** Guards against a ramp that restarts although nothing indicates a cold start. */
    @Test
    void normalBehaviourKeepsTheLimit() {
        assertThat(limitAfter(ramp -> ramp.onIncarnation("first"))).isEqualTo(4);
        assertThat(limitAfter(ramp -> {
                    recordSuccesses(ramp, 2, 9_000);
                    recordSuccesses(ramp, 1, 1_000);
                    recordSuccesses(ramp, 2, 9_000);
                }))
                .isEqualTo(4);
    }

    /** Guards against a target that stays in cold start for ever after a lasting rise of its latency. */
    @Test
    void lastingRiseOfLatencyBecomesTheBaseline() {
        assertThat(limitAfter(ramp -> recordSuccesses(ramp, 120, 5_000))).isEqualTo(4);
    }
}
