package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.protocol.MirrorDelta;

/** Guards against a message that is taken for newer than it is, because the clocks of two instances differ. */
final class ClockOffsetTest {

    private static final double DRIFT = 1e-4;

    private final ClockOffset offset = new ClockOffset();

    @Test
    void nothingIsKnownBeforeTheFirstResponse() {
        assertThat(offset.isKnown()).isFalse();
        assertThat(offset.toRemote(5_000)).isEqualTo(MirrorDelta.UNKNOWN_MILLIS);
    }

    @Test
    void aTimeIsNeverTranslatedToALaterOneWhateverTheDelaysAndTheDrift() {
        Random random = new Random(1);
        double now = 1_000_000;
        double worstMillis = 0;
        for (int response = 0; response < 2_000; response++) {
            now += 400;
            long remoteMillis = (long) remote(now);
            double arrival = now + (random.nextInt(10) == 0 ? 300 * random.nextDouble() : 1 + random.nextDouble());
            offset.record(remoteMillis, (long) arrival);
            now = arrival;
            long translated = offset.toRemote((long) now);
            assertThat((double) translated).isAtMost(remote(now));
            worstMillis = Math.max(worstMillis, remote(now) - translated);
        }
        assertThat(worstMillis).isLessThan(310);
    }

    private static double remote(double localMillis) {
        return localMillis * (1 + DRIFT) + 777_777_777;
    }

    @Test
    void aLateResponseDoesNotLoosenTheBound() {
        offset.record(100, 1_001);
        offset.record(500, 1_700);
        assertThat(offset.toRemote(2_000)).isAtLeast(1_090);
    }
}
