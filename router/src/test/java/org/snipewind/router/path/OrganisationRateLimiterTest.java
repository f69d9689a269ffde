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
 * Load pattern: all instances start at once and callers press on before there is a leader. Guards against refusals that
 * bring the callers back on new connections at the worst time, and against waits that are in vain.
 */
final class OrganisationRateLimiterTest {

    private static final int REQUESTS = 5;

    /** Longer than requests wait for a keeper. */
    private static final long LASTING_ABSENCE_MILLIS = 900;

    private static final class Outcome implements OrganisationRateLimiter.Decision {
        private final long patience;
        private volatile String told = "";
        private volatile long retryAfter;

        Outcome(long patience) {
            this.patience = patience;
        }

        @Override
        public void admitted() {
            told = "admitted";
        }

        @Override
        public void refused(boolean overLimit, long retryAfterMillis) {
            retryAfter = retryAfterMillis;
            told = overLimit ? "over the limit" : "no keeper";
        }

        @Override
        public long patienceMillis() {
            return patience;
        }
    }

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final Organisation organisation = new Organisation("north", List.of("key"), 10, 10);
    private volatile boolean keeperPresent;
    private volatile BudgetGrant absent = new BudgetGrant(false, 0, 0);
    private final OrganisationRateLimiter desk = new OrganisationRateLimiter(
            new FleetTracker(new EmptyStoreItemParser(), clock, new RouterEventLog("test", clock)),
            clock,
            loop,
            (name, wanted) ->
                    CompletableFuture.completedFuture(keeperPresent ? new BudgetGrant(true, wanted, 0) : absent));

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    private List<Outcome> admit(long patience) throws Exception {
        List<Outcome> outcomes = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            Outcome outcome = new Outcome(patience);
            outcomes.add(outcome);
            loop.submit(() -> desk.admit(organisation, outcome)).get();
        }
        return outcomes;
    }

    @Test
    void requestsWaitForAKeeperThatIsAwayForAShortTime() throws Exception {
        List<Outcome> outcomes = admit(400);
        assertThat(outcomes.stream().allMatch(outcome -> outcome.told.isEmpty()))
                .isTrue();
        keeperPresent = true;
        clock.advance(150);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.told.equals("admitted")));
    }

    @Test
    void aRequestThatCouldNotBeServedInTimeAnyMoreIsRefused() throws Exception {
        List<Outcome> outcomes = admit(60);
        clock.advance(61);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.told.equals("no keeper")));
    }

    @Test
    void requestsAreRefusedAtOnceWhileTheKeeperIsAwayForLong() throws Exception {
        admit(60);
        clock.advance(LASTING_ABSENCE_MILLIS);
        List<Outcome> later = admit(2_000);
        await(() -> later.stream().allMatch(outcome -> outcome.told.equals("no keeper")));
    }

    @Test
    void requestsAreRefusedAtOnceWithTheTimeIfTheKeeperMayIssueOnlyMuchLater() throws Exception {
        absent = new BudgetGrant(false, 0, 4_250);
        List<Outcome> outcomes = admit(2_000);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.told.equals("no keeper")));
        assertThat(outcomes.get(0).retryAfter).isEqualTo(4_250);
    }

    @Test
    void requestsWaitForAKeeperThatMayIssueSoon() throws Exception {
        absent = new BudgetGrant(false, 0, 250);
        List<Outcome> outcomes = admit(400);
        assertThat(outcomes.stream().allMatch(outcome -> outcome.told.isEmpty()))
                .isTrue();
        keeperPresent = true;
        clock.advance(250);
        await(() -> outcomes.stream().allMatch(outcome -> outcome.told.equals("admitted")));
    }
}
