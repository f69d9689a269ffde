package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class ConcurrencyRampTest {

    private static ConcurrencyRamp warm() {
        ConcurrencyRamp ramp = new ConcurrencyRamp(4, 1, 5);
        ramp.onIncarnation("first");
        answer(ramp, 15, 1_000);
        assertThat(ramp.limit()).isEqualTo(4);
        return ramp;
    }

    private static void answer(ConcurrencyRamp ramp, int count, long micros) {
        for (int answers = 0; answers < count; answers++) {
            ramp.onSuccess(micros);
        }
    }

    private static int limitAfter(Consumer<ConcurrencyRamp> sign) {
        ConcurrencyRamp ramp = warm();
        sign.accept(ramp);
        return ramp.limit();
    }

    /** Guards against full load on a target that fell back into cold start. */
    @Test
    void eachSignOfAColdStartRestartsTheRamp() {
        assertThat(limitAfter(ConcurrencyRamp::onShed)).isEqualTo(1);
        assertThat(limitAfter(ConcurrencyRamp::onConnectionFailure)).isEqualTo(1);
        assertThat(limitAfter(ramp -> ramp.onIncarnation("second"))).isEqualTo(1);
        assertThat(limitAfter(ramp -> answer(ramp, 3, 3_200))).isEqualTo(1);
    }

    /** Guards against a ramp that restarts without a sign of a cold start. */
    @Test
    void normalBehaviourKeepsTheLimit() {
        assertThat(limitAfter(ramp -> ramp.onIncarnation("first"))).isEqualTo(4);
        assertThat(limitAfter(ramp -> {
                    answer(ramp, 2, 9_000);
                    answer(ramp, 1, 1_000);
                    answer(ramp, 2, 9_000);
                }))
                .isEqualTo(4);
    }

    /** Guards against a target that stays cold for ever because its usual latency rose for good. */
    @Test
    void lastingRiseOfLatencyBecomesUsual() {
        assertThat(limitAfter(ramp -> answer(ramp, 120, 5_000))).isEqualTo(4);
    }
}
