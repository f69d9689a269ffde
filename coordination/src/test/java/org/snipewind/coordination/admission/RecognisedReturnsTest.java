package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against returning callers that are refused again while new requests of the same urgency take their places, and
 * against new requests that are taken for returning ones.
 */
final class RecognisedReturnsTest {

    private static final long NOW = 1_000_000;

    private final PoolAdmission pool = new PoolAdmission(() -> 0.5);

    private AdmissionRequest arrive(double remainingMillis, int urgencyRank) {
        double elapsedBefore = pool.elapsedBeforeMillis("r", remainingMillis);
        return new AdmissionRequest("r", urgencyRank, 600, elapsedBefore, NOW, (long) (NOW + remainingMillis));
    }

    @Test
    void aCallerWithLessTimeThanUsualGoesAheadOfANewOneOfTheSameUrgency() {
        for (int each = 0; each < 20; each++) {
            assertThat(arrive(1_580 - each % 3, 1).isReturning()).isFalse();
        }
        AdmissionRequest returning = arrive(1_150, 1);
        AdmissionRequest fresh = arrive(1_580, 1);
        assertThat(returning.isReturning()).isTrue();
        assertThat(returning.elapsedBeforeMillis()).isWithin(10).of(430);
        assertThat(pool.order(returning, NOW)).isLessThan(pool.order(fresh, NOW));
        assertThat(pool.allowance(returning, () -> "", NOW)).isEqualTo(pool.allowance(fresh, () -> "", NOW));
    }

    /** Guards against a pool in which late requests displace new ones, until all of them are late. */
    @Test
    void aReturningCallerThatWillBeLateDoesNotGoAheadOfNewOnes() {
        arrive(1_580, 1);
        AdmissionRequest fresh = arrive(1_580, 1);
        AdmissionRequest late = arrive(940, 1);
        assertThat(late.isReturning()).isTrue();
        assertThat(pool.order(fresh, NOW)).isLessThan(pool.order(late, NOW));
        assertThat(pool.allowance(late, () -> "", NOW).lengthFactor())
                .isLessThan(pool.allowance(fresh, () -> "", NOW).lengthFactor());
    }

    @Test
    void aMoreUrgentNewRequestGoesAheadOfAReturningOne() {
        arrive(1_580, 0);
        AdmissionRequest returning = arrive(1_150, 0);
        assertThat(returning.isReturning()).isTrue();
        assertThat(pool.order(arrive(1_580, 1), NOW)).isLessThan(pool.order(returning, NOW));
    }

    /** Guards against new requests that count as returning, and give way, where callers vary their deadlines. */
    @Test
    void noCallerCountsAsReturningWhereDeadlinesVary() {
        Random random = new Random(5);
        int returning = 0;
        for (int each = 0; each < 500; each++) {
            returning += arrive(800 + 800 * random.nextDouble(), 0).isReturning() ? 1 : 0;
        }
        assertThat(returning).isLessThan(25);
    }

    @Test
    void callersThatGrantLessFromNowOnCountAsNewAfterAWhile() {
        arrive(3_000, 0);
        for (int each = 0; each < 500; each++) {
            arrive(1_500, 0);
        }
        assertThat(arrive(1_500, 0).isReturning()).isFalse();
    }
}
