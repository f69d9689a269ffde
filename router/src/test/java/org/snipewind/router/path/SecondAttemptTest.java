package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.hedging.SecondAttemptPolicy;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** Guards against second attempts beyond their share, of requests that may run once only, or to busy targets. */
final class SecondAttemptTest {

    private static final long SLOW_MILLIS = 600;
    private static final String SENT = "second-attempts.sent";

    private final RoutingFixture fixture = new RoutingFixture();
    private final List<String> servedBy = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    @Test
    void withAShareOfAllRequestsASlowOneIsServedByASecondTarget() throws Exception {
        setShare(1);
        addSlowFirstTargets(RoutingFixture.PLAIN_POOL);
        long start = fixture.clock.nowMillis();
        assertThat(send("/plain/x")).isEqualTo("200");
        assertThat(fixture.clock.nowMillis() - start).isLessThan(SLOW_MILLIS);
        assertThat(servedBy).hasSize(2);
        assertThat(counter(SENT)).isEqualTo(1);
        assertThat(counter("second-attempts.won")).isEqualTo(1);
        assertThat(counter("second-attempts.lost")).isEqualTo(0);
    }

    @Test
    void withoutAnEarnedShareASlowRequestIsNotSentTwice() throws Exception {
        setShare(0.05);
        addSlowFirstTargets(RoutingFixture.PLAIN_POOL);
        assertThat(send("/plain/x")).isEqualTo("200");
        assertThat(servedBy).hasSize(1);
        assertThat(counter("second-attempts.refused-share")).isEqualTo(1);
    }

    @Test
    void aRequestThatIsNotIdempotentIsNotSentTwice() throws Exception {
        setShare(1);
        addSlowFirstTargets(RoutingFixture.PLAIN_POOL);
        assertThat(send("/plain-once/x")).isEqualTo("200");
        assertThat(servedBy).hasSize(1);
    }

    @Test
    void aRequestWithAKeyIsSentToItsHolderOnly() throws Exception {
        setShare(1);
        addSlowFirstTargets(RoutingFixture.KEYED_POOL);
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        assertThat(send("/keyed/x")).isEqualTo("200");
        assertThat(servedBy).containsExactly("a");
    }

    @Test
    void withoutAnotherTargetASlowRequestIsNotRepeatedAtTheSame() throws Exception {
        setShare(1);
        fixture.addTarget("a", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("a");
            RoutingFixture.pause(SLOW_MILLIS);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        assertThat(send("/plain/x")).isEqualTo("200");
        assertThat(servedBy).hasSize(1);
        assertThat(counter("second-attempts.refused-no-target")).isEqualTo(1);
    }

    /** Guards against a delay that falls with each second attempt that wins, since slow requests are not counted. */
    @Test
    void aFirstAttemptThatIsCancelledCountsAmongTheResponseTimes() throws Exception {
        setShare(1);
        addSlowFirstTargets(RoutingFixture.PLAIN_POOL);
        SecondAttemptPolicy policy = fixture.context
                .sharedState()
                .secondAttemptPolicy(RoutingFixture.PLAIN_POOL)
                .get();
        // One sample less than needed, so that the delay shows whether the next one is recorded.
        for (int sample = 0; sample < 19; sample++) {
            policy.recordResponseTime("/plain/", 1, fixture.clock.nowMillis());
        }
        assertThat(delayMillis(policy, 0)).isEqualTo(120);
        assertThat(send("/plain/x")).isEqualTo("200");
        assertThat(counter("second-attempts.won")).isEqualTo(1);
        // Later than the time for which a calculated delay is kept.
        assertThat(delayMillis(policy, 1_000)).isEqualTo(1);
    }

    private long delayMillis(SecondAttemptPolicy policy, long laterMillis) {
        return policy.delayMillis("/plain/", 200, 0, fixture.clock.nowMillis() + laterMillis);
    }

    private void setShare(double share) {
        fixture.context
                .sharedState()
                .setLimits(new RouterLimits(
                        fixture.limits.repeatRatio(),
                        fixture.limits.repeatWindowMillis(),
                        fixture.limits.repeatAllowance(),
                        fixture.limits.coldFactor(),
                        fixture.limits.coldAllowance(),
                        OptionalDouble.of(share)));
    }

    /** Adds two targets, of which the first to be asked is slow. */
    private void addSlowFirstTargets(String pool) throws Exception {
        for (String id : List.of("a", "b")) {
            fixture.addTarget(id, pool, exchange -> {
                servedBy.add(id);
                RoutingFixture.pause(servedBy.size() == 1 ? SLOW_MILLIS : 0);
                RoutingFixture.sendResponse(exchange, 200, true);
            });
        }
    }

    private String send(String path) throws Exception {
        String outcome = fixture.send(path, Optional.of("1")).await();
        // The counters of a request are written before its response on the same loop, or just after it.
        fixture.loop.submit(() -> {}).get(RoutingFixture.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        return outcome;
    }

    private long counter(String name) {
        return fixture.context.metrics().counterValue(name);
    }
}
