package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.router.lead.EmptyStoreItemParser;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.state.FleetTracker;

/**
 * Tests admission while the token issuer is unavailable, as when all instances start at once and callers send requests
 * before a leader is elected. Guards against refusals that make callers return on new connections to instances that are
 * still starting, and against requests that wait although they can't be admitted in time.
 */
final class OrganisationRateLimiterTest {

    private static final int REQUESTS = 5;

    /** Longer than requests wait for an unavailable token issuer. */
    private static final long LONG_ABSENCE_MILLIS = 900;

    private static final class Outcome implements OrganisationRateLimiter.AdmissionListener {
        private final long maxTokenWaitMillis;
        private volatile String decision = "";
        private volatile long refusedRetryAfterMillis;

        Outcome(long maxTokenWaitMillis) {
            this.maxTokenWaitMillis = maxTokenWaitMillis;
        }

        @Override
        public void admitted() {
            decision = "admitted";
        }

        @Override
        public void refused(boolean overLimit, long retryAfterMillis) {
            refusedRetryAfterMillis = retryAfterMillis;
            decision = overLimit ? "over the limit" : "token issuer unavailable";
        }

        @Override
        public long maxTokenWaitMillis() {
            return maxTokenWaitMillis;
        }
    }

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final Organisation organisation = new Organisation("north", List.of("key"), 10, 10);
    private volatile boolean issuerAvailable;
    private volatile BudgetGrant issuerAbsentGrant = new BudgetGrant(false, 0, 0);
    private final OrganisationRateLimiter rateLimiter = new OrganisationRateLimiter(
            new FleetTracker(new EmptyStoreItemParser(), clock, new RouterEventLog("test", clock)),
            clock,
            loop,
            request -> CompletableFuture.completedFuture(
                    issuerAvailable ? new BudgetGrant(true, request.tokens(), 0) : issuerAbsentGrant));

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private List<Outcome> admit(long maxTokenWaitMillis) throws Exception {
        List<Outcome> outcomes = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            Outcome outcome = new Outcome(maxTokenWaitMillis);
            outcomes.add(outcome);
            loop.submit(() -> rateLimiter.admit(organisation, outcome)).get();
        }
        return outcomes;
    }

    @Test
    void requestsWaitWhileTheTokenIssuerIsUnavailableForAShortTime() throws Exception {
        List<Outcome> outcomes = admit(400);
        assertThat(outcomes.stream().allMatch(outcome -> outcome.decision.isEmpty()))
                .isTrue();
        issuerAvailable = true;
        clock.advance(150);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.decision.equals("admitted")));
    }

    @Test
    void aRequestThatCanNoLongerBeServedInTimeIsRefused() throws Exception {
        List<Outcome> outcomes = admit(60);
        clock.advance(61);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.decision.equals("token issuer unavailable")));
    }

    @Test
    void requestsAreRefusedAtOnceWhileTheTokenIssuerIsUnavailableForLong() throws Exception {
        admit(60);
        clock.advance(LONG_ABSENCE_MILLIS);
        List<Outcome> later = admit(2_000);
        await(() -> later.stream().allMatch(outcome -> outcome.decision.equals("token issuer unavailable")));
    }

    @Test
    void requestsAreRefusedAtOnceWithTheRetryTimeIfTokensAreIssuedOnlyMuchLater() throws Exception {
        issuerAbsentGrant = new BudgetGrant(false, 0, 4_250);
        List<Outcome> outcomes = admit(2_000);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.decision.equals("token issuer unavailable")));
        assertThat(outcomes.get(0).refusedRetryAfterMillis).isEqualTo(4_250);
    }

    @Test
    void requestsWaitForTokensThatAreIssuedSoon() throws Exception {
        issuerAbsentGrant = new BudgetGrant(false, 0, 250);
        List<Outcome> outcomes = admit(400);
        assertThat(outcomes.stream().allMatch(outcome -> outcome.decision.isEmpty()))
                .isTrue();
        issuerAvailable = true;
        clock.advance(250);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.decision.equals("admitted")));
    }

    /** Guards against an explanation that uses up the tokens of the requests that it explains. */
    @Test
    void askingWhetherARequestWouldBeAdmittedTakesNoToken() throws Exception {
        OrganisationRateLimiter notAsked = newRateLimiter();
        OrganisationRateLimiter asked = newRateLimiter();
        assertThat(asked.wouldAdmitNow(organisation)).isFalse();
        // The first request creates the state of the organisation, whose fixed share then fills up.
        admittedAtOnce(notAsked, 1);
        admittedAtOnce(asked, 1);
        clock.advance(2_000);
        for (int each = 0; each < 100; each++) {
            assertThat(asked.wouldAdmitNow(organisation)).isTrue();
        }
        int admitted = admittedAtOnce(asked, 20);
        assertThat(admitted).isGreaterThan(0);
        assertThat(admitted).isEqualTo(admittedAtOnce(notAsked, 20));
        assertThat(asked.wouldAdmitNow(organisation)).isFalse();
    }

    private OrganisationRateLimiter newRateLimiter() {
        return new OrganisationRateLimiter(
                new FleetTracker(new EmptyStoreItemParser(), clock, new RouterEventLog("test", clock)),
                clock,
                loop,
                request -> CompletableFuture.completedFuture(new BudgetGrant(true, 0, 60_000)));
    }

    /** Returns how many of the requests are admitted immediately; waits for the others' refusals. */
    private int admittedAtOnce(OrganisationRateLimiter limiter, int requests) throws Exception {
        List<Outcome> outcomes = new ArrayList<>();
        for (int request = 0; request < requests; request++) {
            Outcome outcome = new Outcome(0);
            outcomes.add(outcome);
            loop.submit(() -> limiter.admit(organisation, outcome)).get();
        }
        await(() -> outcomes.stream().noneMatch(outcome -> outcome.decision.isEmpty()));
        return (int) outcomes.stream()
                .filter(outcome -> outcome.decision.equals("admitted"))
                .count();
    }
}
