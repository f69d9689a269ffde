package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/**
 * Guards against requests that are refused although a target has room a moment later, that are held longer than an
 * eighth of their latency objective, and that are sent after their refusal.
 */
final class CapacityWaitTest {

    /** Requests that one target of the fixture takes: two slots, and 2.5 requests that wait for each of them. */
    private static final int FULL = 7;

    private static final long MAX_WAIT_MILLIS = RoutingFixture.PATIENT_OBJECTIVE_MILLIS / 8;

    private final RoutingFixture fixture = new RoutingFixture();
    private final AtomicInteger received = new AtomicInteger();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    private void addTarget(String pool, long serviceMillis) throws Exception {
        fixture.addTarget("a", pool, exchange -> {
            received.incrementAndGet();
            RoutingFixture.pause(serviceMillis);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        awaitLoop();
    }

    /** Waits until the loop has loaded its classes, since it refuses requests while it is late. */
    private void awaitLoop() throws Exception {
        String outcome = "";
        for (int each = 0; each < 50 && !outcome.equals(ErrorKind.ROUTE_UNKNOWN.wireName()); each++) {
            RoutingFixture.pause(20);
            outcome = fixture.send("/no-route/x", Optional.of("1")).await();
        }
    }

    private List<RoutingFixture.Outcome> fill(String path) {
        List<RoutingFixture.Outcome> outcomes = new ArrayList<>();
        for (int each = 0; each < FULL; each++) {
            outcomes.add(fixture.send(path, Optional.of("1")));
        }
        return outcomes;
    }

    private long count(String metric) {
        return fixture.context.metrics().counterValue(metric);
    }

    @Test
    void aRequestToAFullPoolIsSentWhenATargetResponds() throws Exception {
        addTarget(RoutingFixture.PLAIN_POOL, 100);
        List<RoutingFixture.Outcome> outcomes = fill("/patient/x");
        outcomes.add(fixture.send("/patient/x", Optional.of("1")));
        for (RoutingFixture.Outcome outcome : outcomes) {
            assertThat(outcome.await()).isEqualTo("200");
        }
        assertThat(received.get()).isEqualTo(FULL + 1);
        assertThat(count("admission.waited")).isEqualTo(1);
        assertThat(count("admission.served-after-wait")).isEqualTo(1);
        assertThat(count("admission.sent-after-wait")).isEqualTo(1);
    }

    @Test
    void aRequestToABusyOwnerIsSentWhenTheOwnerResponds() throws Exception {
        addTarget(RoutingFixture.KEYED_POOL, 100);
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        List<RoutingFixture.Outcome> outcomes = fill("/keyed-patient/x");
        outcomes.add(fixture.send("/keyed-patient/x", Optional.of("1")));
        for (RoutingFixture.Outcome outcome : outcomes) {
            assertThat(outcome.await()).isEqualTo("200");
        }
        assertThat(count("admission.sent-after-wait")).isEqualTo(1);
    }

    @Test
    void aRequestIsRefusedWhenItsWaitEndsAndIsNotSentAfterwards() throws Exception {
        addTarget(RoutingFixture.PLAIN_POOL, 1_200);
        fill("/patient/x");
        long start = fixture.clock.nowMillis();
        RoutingFixture.Outcome refused = fixture.send("/patient/x", Optional.of("1"));
        assertThat(refused.await()).isEqualTo("overloaded");
        long heldMillis = fixture.clock.nowMillis() - start;
        assertThat(heldMillis).isAtLeast(MAX_WAIT_MILLIS / 2);
        assertThat(heldMillis).isLessThan(1_000);
        assertThat(refused.retryAfterMillis()).isGreaterThan(0);
        assertThat(refused.retryAfterMillis()).isAtMost(2_000 / 3);
        RoutingFixture.pause(1_300);
        assertThat(received.get()).isEqualTo(FULL);
    }

    /** Guards against requests that are held although they can't be sent within their wait. */
    @Test
    void aRequestIsRefusedAtOnceWhenNoTargetHasRoomInTime() throws Exception {
        addTarget(RoutingFixture.PLAIN_POOL, 800);
        // After this response, the instance expects the next free place in 400 ms.
        assertThat(fixture.send("/patient/x", Optional.of("1")).await()).isEqualTo("200");
        fill("/patient/x");
        RoutingFixture.Outcome refused = fixture.send("/patient/x", Optional.of("1"));
        assertThat(refused.await()).isEqualTo("overloaded");
        assertThat(count("admission.refused.no-room-in-time")).isEqualTo(1);
        assertThat(count("admission.waited")).isEqualTo(0);
        assertThat(refused.retryAfterMillis()).isGreaterThan(0);
        assertThat(refused.retryAfterMillis()).isAtMost(2_000 / 3);
    }

    @Test
    void aWaitingRequestOfADisconnectedCallerIsNotSent() throws Exception {
        addTarget(RoutingFixture.PLAIN_POOL, 150);
        List<RoutingFixture.Outcome> outcomes = fill("/patient/x");
        RoutingFixture.Outcome left = fixture.send("/patient/x", Optional.of("1"));
        left.callerPresent = false;
        for (RoutingFixture.Outcome outcome : outcomes) {
            assertThat(outcome.await()).isEqualTo("200");
        }
        RoutingFixture.pause(300);
        assertThat(received.get()).isEqualTo(FULL);
    }
}
