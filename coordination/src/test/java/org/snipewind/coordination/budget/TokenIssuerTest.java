package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

class TokenIssuerTest {

    private final ManualMillisClock clock = new ManualMillisClock(1_000);

    /** Guards against a successor that issues tokens before those of its predecessor expire, or starts with a burst. */
    @Test
    void successorWaitsUntilItIsActiveAndStartsWithoutBurst() {
        TokenIssuer issuer = new TokenIssuer(clock, 100, 50, 1_020, false);
        assertThat(issuer.issue(5)).isEqualTo(new TokenGrant(0, 20));
        clock.advance(20);
        assertThat(issuer.issue(5)).isEqualTo(new TokenGrant(0, 10));
        clock.advance(10);
        assertThat(issuer.issue(5)).isEqualTo(new TokenGrant(1, 10));
    }

    /** Guards against refusals for an organisation that has sent no request since the issuer's term began. */
    @Test
    void issuerRefillsFromTheStartOfItsTermToItsFirstRequest() {
        clock.advance(200);
        TokenIssuer issuer = new TokenIssuer(clock, 100, 50, 1_000, false);
        assertThat(issuer.issue(50).tokens()).isEqualTo(20);
    }

    /** Guards against a new rate that applies to past time or makes a whole new burst available. */
    @Test
    void newRateAndBurstTakeEffectInOneStep() {
        TokenIssuer issuer = new TokenIssuer(clock, 100, 10, 0, true);
        assertThat(issuer.issue(20).tokens()).isEqualTo(10);
        clock.advance(70);
        issuer.configure(1_000, 40);
        assertThat(issuer.issue(100).tokens()).isEqualTo(35);
        assertThat(issuer.prefetchAllowed()).isTrue();
        issuer.configure(1_000, 10);
        assertThat(issuer.prefetchAllowed()).isFalse();
    }

    /** Guards against instances that request tokens too often or too late. */
    @Test
    void retryTimeIsTheTimeOfTheNextToken() {
        TokenIssuer issuer = new TokenIssuer(clock, 40, 3, 0, true);
        TokenGrant grant = issuer.issue(4);
        assertThat(grant).isEqualTo(new TokenGrant(3, 45));
        clock.advance(44);
        assertThat(issuer.issue(1).tokens()).isEqualTo(0);
        clock.advance(1);
        assertThat(issuer.issue(1).tokens()).isEqualTo(1);
    }
}
