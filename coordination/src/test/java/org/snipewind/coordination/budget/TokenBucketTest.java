package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class TokenBucketTest {

    /** Guards against a change of rate that refills the past at the new rate or keeps more than the new capacity. */
    @Test
    void reconfigurationCountsThePastAtTheOldRate() {
        ManualMillisClock clock = new ManualMillisClock(0);
        TokenBucket bucket = new TokenBucket(clock, 10, 20, 1);
        assertThat(bucket.take(3)).isEqualTo(1);
        assertThat(bucket.millisUntil(2)).isEqualTo(200);
        assertThat(bucket.millisUntil(21)).isEqualTo(Long.MAX_VALUE);
        clock.advance(500);
        bucket.reconfigure(1_000, 4);
        assertThat(bucket.take(10)).isEqualTo(4);
    }
}
