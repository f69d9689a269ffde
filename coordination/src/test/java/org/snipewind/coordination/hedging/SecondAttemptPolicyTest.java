package org.snipewind.coordination.hedging;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against second attempts that are sent too early, too late to help, or beyond their share. */
final class SecondAttemptPolicyTest {

    private static final String ROUTE = "route";
    private static final long OBJECTIVE_MILLIS = 600;

    private final SecondAttemptPolicy policy = new SecondAttemptPolicy(0.05);

    @Test
    void withFewSamplesTheDelayIsAFractionOfTheObjective() {
        recordTimes(19, 50);
        assertThat(delayMillis(10, 0)).isEqualTo(360);
        recordTimes(1, 50);
        assertThat(delayMillis(10, 1_000)).isEqualTo(50);
    }

    @Test
    void samplesExpireSoThatOldTimesDoNotDecide() {
        recordTimes(100, 50);
        assertThat(delayMillis(10, 30_000)).isEqualTo(50);
        assertThat(delayMillis(10, 30_001 + 250)).isEqualTo(360);
    }

    @Test
    void theDelayIsAtLeastTheTimeExpectedOfTheTarget() {
        recordTimes(100, 50);
        assertThat(delayMillis(10, 0)).isEqualTo(50);
        assertThat(delayMillis(210.4, 0)).isEqualTo(211);
    }

    /** Guards against second attempts that follow a slow response only after its time. */
    @Test
    void theDelayIsAtMostThreeTimesTheMedian() {
        recordTimes(90, 50);
        recordTimes(10, 2_000);
        assertThat(delayMillis(10, 0)).isEqualTo(150);
    }

    /** Guards against an instance with one request per second that never may send a second attempt. */
    @Test
    void atOneRequestPerSecondTheShareAccumulates() {
        recordFirstAttempts(19);
        assertThat(acquire(100)).hasValue(SecondAttemptRefusal.SHARE);
        recordFirstAttempts(1);
        assertThat(acquire(100)).isEmpty();
        assertThat(acquire(100)).hasValue(SecondAttemptRefusal.SHARE);
    }

    @Test
    void afterAQuietTimeOnlyFewSecondAttemptsAreSaved() {
        recordFirstAttempts(10_000);
        for (int each = 0; each < 3; each++) {
            assertThat(acquire(100)).isEmpty();
        }
        assertThat(acquire(100)).hasValue(SecondAttemptRefusal.SHARE);
    }

    @Test
    void aSecondTargetThatWouldMissTheDeadlineIsNotUsed() {
        recordFirstAttempts(100);
        assertThat(acquire(501)).hasValue(SecondAttemptRefusal.NO_TIME);
        assertThat(acquire(500)).isEmpty();
    }

    @Test
    void theRetryBudgetIsAskedLastAndCanRefuse() {
        recordFirstAttempts(100);
        Optional<SecondAttemptRefusal> refusal = policy.acquire(OptionalDouble.of(100), 500, 0, () -> false);
        assertThat(refusal).hasValue(SecondAttemptRefusal.RETRY_BUDGET);
        assertThat(policy.acquire(OptionalDouble.empty(), 500, 0, () -> {
                    throw new AssertionError("asked although there is no target");
                }))
                .hasValue(SecondAttemptRefusal.NO_TARGET);
    }

    @Test
    void oneOverdueRequestOfAQuietPoolDoesNotCountAsNoCapacity() {
        recordFirstAttempts(100);
        policy.recordOverdue(true, 0);
        assertThat(acquire(100)).isEmpty();
    }

    @Test
    void rejectionsByMostTargetsCountAsNoCapacity() {
        recordFirstAttempts(100);
        for (int each = 0; each < 5; each++) {
            policy.recordRejection(0);
        }
        assertThat(acquire(100)).hasValue(SecondAttemptRefusal.NO_CAPACITY);
    }

    private void recordTimes(int count, long millis) {
        for (int each = 0; each < count; each++) {
            policy.recordResponseTime(ROUTE, millis, 0);
        }
    }

    private void recordFirstAttempts(int count) {
        for (int each = 0; each < count; each++) {
            policy.recordFirstAttempt();
        }
    }

    private long delayMillis(double expectedMillis, long nowMillis) {
        return policy.delayMillis(ROUTE, OBJECTIVE_MILLIS, expectedMillis, nowMillis);
    }

    private Optional<SecondAttemptRefusal> acquire(double expectedMillis) {
        return policy.acquire(OptionalDouble.of(expectedMillis), 500, 0, () -> true);
    }
}
