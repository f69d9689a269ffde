package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class TokenBucketTest {

    /** Guards against a new rate that applies to past time, and tokens in excess of a new capacity. */
    @Test
    void reconfigurationRefillsAtTheOldRateUpToNow() {
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
