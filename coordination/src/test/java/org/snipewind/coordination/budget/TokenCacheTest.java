package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class TokenCacheTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final TokenCache cache = new TokenCache(clock);

    TokenCacheTest() {
        cache.configure(1_000, 100);
    }

    /** Guards against tokens of a delayed response that are used after they have expired at the issuer. */
    @Test
    void lifetimeOfTokensStartsWhenTheirRequestIsSent() {
        assertThat(cache.tokensToRequest(2)).isEqualTo(2);
        cache.onRequestSent(0);
        assertThat(cache.tokensToRequest(5)).isEqualTo(0);
        clock.advance(18);
        cache.onGranted(2);
        assertThat(cache.tryAcquire()).isTrue();
        clock.advance(1);
        assertThat(cache.tryAcquire()).isFalse();
    }

    /** Guards against tokens of an old response that expire only with those of a later request. */
    @Test
    void lateAndDuplicateResponsesAreIgnored() {
        long failedRequest = cache.onRequestSent(0);
        cache.onRequestFailed();
        assertThat(cache.retryNotBeforeMillis()).isEqualTo(5);
        clock.advance(5);
        long request = cache.onRequestSent(5);
        cache.onGranted(failedRequest, 3, 0);
        assertThat(cache.tryAcquire()).isFalse();
        cache.onGranted(request, 1, 0);
        cache.onRequestSent(5);
        cache.onGranted(request, 1, 0);
        assertThat(cache.tryAcquire()).isTrue();
        assertThat(cache.tryAcquire()).isFalse();
    }

    /** Guards against prefetched tokens that expire unused after an organisation stopped sending requests. */
    @Test
    void prefetchFollowsTheRecentRateOfUse() {
        for (int use = 0; use < 100; use++) {
            cache.onRequestSent(clock.nowMillis());
            cache.onGranted(1);
            assertThat(cache.tryAcquire()).isTrue();
            clock.advance(2);
        }
        assertThat(cache.tokensToRequest(1)).isEqualTo(1 + 10);
        clock.advance(250);
        assertThat(cache.tokensToRequest(0)).isEqualTo(0);
    }

    /** Guards against requests that are refused as over the limit long after the limit has been raised. */
    @Test
    void aChangedLimitEndsTheWaitThatTheFormerOneRequired() {
        long request = cache.onRequestSent(0);
        cache.onGranted(request, 0, 50_000);
        cache.configure(1_000, 100);
        assertThat(cache.tokensToRequest(1)).isEqualTo(0);
        cache.configure(2_000, 100);
        assertThat(cache.tokensToRequest(1)).isEqualTo(1);
    }
}
