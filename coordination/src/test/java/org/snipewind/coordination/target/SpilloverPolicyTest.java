package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against requests that leave their data centre at a short peak, and against load that moves back at once. */
final class SpilloverPolicyTest {

    private static final double OBJECTIVE_MILLIS = 1_000;
    private static final SpilloverRequest REQUEST =
            new SpilloverRequest("pool", "route", OBJECTIVE_MILLIS, 2_500, false, false);

    private final Random random = new Random(1);
    private final SpilloverPolicy policy = new SpilloverPolicy(random::nextDouble);
    private long nowMillis = 10_000;

    /** Returns how many of 100 requests within a second may leave at an expected time in the data centre. */
    private long leaving(double localMillis) {
        return LongStream.range(0, 100)
                .filter(index -> policy.mayLeave(localMillis, REQUEST, nowMillis += 10))
                .count();
    }

    @Test
    void requestsStayAtALoadBelowTheOneAtWhichTheyLeave() {
        assertThat(leaving(400)).isEqualTo(0);
        assertThat(leaving(780)).isEqualTo(0);
        assertThat(policy.isSpilling()).isFalse();
    }

    @Test
    void aShortPeakMovesOnlyTheRequestsThatItMakesLate() {
        leaving(300);
        assertThat(policy.mayLeave(900, REQUEST, nowMillis += 10)).isTrue();
        assertThat(leaving(600)).isEqualTo(0);
    }

    @Test
    void afterAHighLoadTheShareThatLeavesFallsWithTheLoadUntilItIsClearlyLower() {
        leaving(950);
        leaving(950);
        assertThat(policy.isSpilling()).isTrue();
        long atHighLoad = leaving(740);
        long atMediumLoad = leaving(600);
        assertThat(atHighLoad).isAtLeast(65);
        assertThat(atMediumLoad).isAtLeast(15);
        assertThat(atMediumLoad).isLessThan(atHighLoad);
        leaving(400);
        leaving(400);
        leaving(400);
        assertThat(policy.isSpilling()).isFalse();
        assertThat(leaving(600)).isEqualTo(0);
    }

    @Test
    void aDataCentreWithoutRoomCountsAsOneWithHighLoad() {
        LongStream.range(0, 300).forEach(index -> policy.recordLocalFull(nowMillis += 10));
        assertThat(policy.isSpilling()).isTrue();
    }

    @Test
    void aRepeatedRequestLeavesAtALowerLoadAndDoesNotCountAsLoad() {
        SpilloverRequest repeated = new SpilloverRequest("pool", "route", OBJECTIVE_MILLIS, 2_500, false, true);
        long leaving = LongStream.range(0, 1_000)
                .filter(index -> policy.mayLeave(750, repeated, nowMillis += 10))
                .count();
        assertThat(leaving).isGreaterThan(600);
        assertThat(policy.isSpilling()).isFalse();
    }

    @Test
    void leavingIsWorthwhileOnlyForAResponseThatIsInTimeElsewhere() {
        assertThat(policy.isRemoteWorthwhile(900, 500, REQUEST)).isTrue();
        assertThat(policy.isRemoteWorthwhile(900, 700, REQUEST)).isFalse();
        assertThat(policy.isRemoteWorthwhile(2_000, 1_200, REQUEST)).isFalse();
        assertThat(policy.isRemoteWorthwhile(3_000, 1_200, REQUEST)).isTrue();
    }
}
