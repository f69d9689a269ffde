package org.snipewind.coordination.keyspace;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against an epoch that a leader writes to the table after another one has used it for a renewal. */
final class KeyEpochsTest {

    @Test
    void writtenEpochsAreAboveAllRenewalsOfTheWrittenOnesBefore() {
        for (long written = 0; written < 5_000; written += 7) {
            long renewal = written;
            int renewals = 0;
            for (OptionalLong next = KeyEpochs.nextRenewal(renewal);
                    next.isPresent();
                    next = KeyEpochs.nextRenewal(renewal)) {
                assertThat(next.getAsLong()).isGreaterThan(renewal);
                renewal = next.getAsLong();
                renewals++;
            }
            assertThat(KeyEpochs.nextWritten(written + 1)).isGreaterThan(renewal);
            assertThat(renewals).isLessThan(1_024);
        }
    }

    @Test
    void aWrittenEpochLeavesRoomForRenewals() {
        assertThat(KeyEpochs.nextRenewal(KeyEpochs.nextWritten(4_711))).isEqualTo(OptionalLong.of(5_121));
    }
}
