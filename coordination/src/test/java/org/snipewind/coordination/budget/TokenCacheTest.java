package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class TokenCacheTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final TokenCache account = new TokenCache(clock);

    TokenCacheTest() {
        account.configure(1_000, 100);
    }

    /** Guards against a delayed answer whose tokens are used late. */
    @Test
    void tokensExpireByTheSendTimeOfTheirRequest() {
        assertThat(account.tokensToRequest(2)).isEqualTo(2);
        account.onRequestSent(0);
        assertThat(account.tokensToRequest(5)).isEqualTo(0);
        clock.advance(18);
        account.onGranted(2);
        assertThat(account.tryAcquire()).isTrue();
        clock.advance(1);
        assertThat(account.tryAcquire()).isFalse();
    }

    /** Guards against tokens of an old answer that live as long as those of a later call. */
    @Test
    void lateAndDuplicateAnswersAreIgnored() {
        long failedCall = account.onRequestSent(0);
        account.onRequestFailed();
        assertThat(account.retryNotBeforeMillis()).isEqualTo(5);
        clock.advance(5);
        long call = account.onRequestSent(5);
        account.onGranted(failedCall, 3, 0);
        assertThat(account.tryAcquire()).isFalse();
        account.onGranted(call, 1, 0);
        account.onRequestSent(5);
        account.onGranted(call, 1, 0);
        assertThat(account.tryAcquire()).isTrue();
        assertThat(account.tryAcquire()).isFalse();
    }

    /** Guards against a prefetch that wastes the budget of an organisation that has become quiet. */
    @Test
    void prefetchFollowsTheRecentRateOfUses() {
        for (int use = 0; use < 100; use++) {
            account.onRequestSent(clock.nowMillis());
            account.onGranted(1);
            assertThat(account.tryAcquire()).isTrue();
            clock.advance(2);
        }
        assertThat(account.tokensToRequest(1)).isEqualTo(1 + 10);
        clock.advance(250);
        assertThat(account.tokensToRequest(0)).isEqualTo(0);
    }
}
