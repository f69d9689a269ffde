package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class BudgetAccountTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final BudgetAccount account = new BudgetAccount(clock);

    BudgetAccountTest() {
        account.configure(1_000, 100);
    }

    /** Guards against a delayed answer whose tokens are used late. */
    @Test
    void tokensExpireByTheSendTimeOfTheirRequest() {
        assertThat(account.tokensToRequest(2)).isEqualTo(2);
        account.requested(0);
        assertThat(account.tokensToRequest(5)).isEqualTo(0);
        clock.advance(18);
        account.granted(2);
        assertThat(account.tryUse()).isTrue();
        clock.advance(1);
        assertThat(account.tryUse()).isFalse();
    }

    /** Guards against tokens of an old answer that live as long as those of a later call. */
    @Test
    void lateAndDuplicateAnswersAreIgnored() {
        long failedCall = account.requested(0);
        account.failed();
        assertThat(account.retryNotBeforeMillis()).isEqualTo(5);
        clock.advance(5);
        long call = account.requested(5);
        account.granted(failedCall, 3, 0);
        assertThat(account.tryUse()).isFalse();
        account.granted(call, 1, 0);
        account.requested(5);
        account.granted(call, 1, 0);
        assertThat(account.tryUse()).isTrue();
        assertThat(account.tryUse()).isFalse();
    }

    /** Guards against a prefetch that wastes the budget of an organisation that has become quiet. */
    @Test
    void prefetchFollowsTheRecentRateOfUses() {
        for (int use = 0; use < 100; use++) {
            account.requested(clock.nowMillis());
            account.granted(1);
            assertThat(account.tryUse()).isTrue();
            clock.advance(2);
        }
        assertThat(account.tokensToRequest(1)).isEqualTo(1 + 10);
        clock.advance(250);
        assertThat(account.tokensToRequest(0)).isEqualTo(0);
    }
}
