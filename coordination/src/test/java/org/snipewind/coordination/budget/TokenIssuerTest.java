package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class TokenIssuerTest {

    private final ManualMillisClock clock = new ManualMillisClock(1_000);

    /** Guards against a successor that issues while tokens of its predecessor are alive, or starts with a burst. */
    @Test
    void successorWaitsAndStartsEmpty() {
        TokenIssuer keeper = new TokenIssuer(clock, 100, 50, 1_020, false);
        assertThat(keeper.issue(5)).isEqualTo(new TokenGrant(0, 20));
        clock.advance(20);
        assertThat(keeper.issue(5)).isEqualTo(new TokenGrant(0, 10));
        clock.advance(10);
        assertThat(keeper.issue(5)).isEqualTo(new TokenGrant(1, 10));
    }

    /** Guards against refusals of an organisation that was quiet since the keeper's term began. */
    @Test
    void keeperThatIsAskedLateHasRefilledSinceItsTermBegan() {
        clock.advance(200);
        TokenIssuer keeper = new TokenIssuer(clock, 100, 50, 1_000, false);
        assertThat(keeper.issue(50).tokens()).isEqualTo(20);
    }

    /** Guards against a change of rate that applies to the past or brings a new burst. */
    @Test
    void changeOfRateTakesEffectInOneStep() {
        TokenIssuer keeper = new TokenIssuer(clock, 100, 10, 0, true);
        assertThat(keeper.issue(20).tokens()).isEqualTo(10);
        clock.advance(70);
        keeper.configure(1_000, 40);
        assertThat(keeper.issue(100).tokens()).isEqualTo(35);
        assertThat(keeper.prefetchAllowed()).isTrue();
        keeper.configure(1_000, 10);
        assertThat(keeper.prefetchAllowed()).isFalse();
    }

    /** Guards against entries that poll too often or wait too long. */
    @Test
    void retryTimeIsWhenTheNextTokenIsIssued() {
        TokenIssuer keeper = new TokenIssuer(clock, 40, 3, 0, true);
        TokenGrant first = keeper.issue(4);
        assertThat(first).isEqualTo(new TokenGrant(3, 45));
        clock.advance(44);
        assertThat(keeper.issue(1).tokens()).isEqualTo(0);
        clock.advance(1);
        assertThat(keeper.issue(1).tokens()).isEqualTo(1);
    }
}
