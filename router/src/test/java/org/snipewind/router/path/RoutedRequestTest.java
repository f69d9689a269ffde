package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/**
 * Guards against requests that run twice, that run for callers who have disconnected, or that are refused as not run
 * although they ran.
 */
final class RoutedRequestTest {

    private final RoutingFixture fixture = new RoutingFixture();
    private final MillisClock clock = fixture.clock;
    private final List<String> servedBy = new CopyOnWriteArrayList<>();

    /**
     * Loads the classes on the way of a request, which took up to 1.3 s beside load, before times count that depend on
     * the deadline of 2 s.
     */
    @BeforeAll
    static void serveOneRequest() throws Exception {
        RoutingFixture warming = new RoutingFixture();
        try {
            warming.addTarget(
                    "a", RoutingFixture.PLAIN_POOL, exchange -> RoutingFixture.sendResponse(exchange, 200, true));
            RoutingFixture.Outcome outcome = warming.send("/plain/x", Optional.of("1"));
            while (!outcome.await().equals("200")) {
                outcome = warming.send("/plain/x", Optional.of("1"));
            }
        } finally {
            warming.stop();
        }
    }

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    @Test
    void aRequestThatWaitedForItsOwnerIsSentOnce() throws Exception {
        fixture.addTarget("a", RoutingFixture.KEYED_POOL, exchange -> {
            servedBy.add("a");
            RoutingFixture.pause(900);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of("b@1")));
        RoutingFixture.Outcome outcome = send("/keyed-once/x");
        RoutingFixture.pause(150);
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        assertThat(outcome.await()).isEqualTo("200");
        assertThat(servedBy).containsExactly("a");
    }

    @Test
    void aRequestForAKeyThatKeepsMovingIsRefusedBeforeItsDeadline() throws Exception {
        fixture.addTarget("a", RoutingFixture.KEYED_POOL, exchange -> RoutingFixture.sendResponse(exchange, 200, true));
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of("b@1")));
        long start = clock.nowMillis();
        assertThat(send("/keyed-once/x").await()).isEqualTo("owner-unavailable");
        assertThat(clock.nowMillis() - start).isLessThan(1_000);
    }

    @Test
    void aNonIdempotentRequestIsNotRetriedAfterALostResponse() throws Exception {
        for (String id : List.of("a", "b")) {
            fixture.addTarget(id, RoutingFixture.PLAIN_POOL, exchange -> {
                servedBy.add(id);
                exchange.close();
            });
        }
        assertThat(send("/plain-once/x").await()).isEqualTo("target-lost");
        assertThat(servedBy).hasSize(1);
    }

    @Test
    void anIdempotentRequestIsRetriedAtAnotherTargetAfterALostResponse() throws Exception {
        fixture.addTarget("a", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("a");
            if (servedBy.size() == 1) {
                exchange.close();
            } else {
                RoutingFixture.sendResponse(exchange, 200, true);
            }
        });
        fixture.addTarget("b", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("b");
            if (servedBy.size() == 1) {
                exchange.close();
            } else {
                RoutingFixture.sendResponse(exchange, 200, true);
            }
        });
        assertThat(send("/plain/x").await()).isEqualTo("200");
        assertThat(servedBy).containsExactly("a", "b");
    }

    @Test
    void aNonIdempotentRequestIsRetriedAtAnotherTargetAfterARejection() throws Exception {
        fixture.addTarget(
                "a", RoutingFixture.PLAIN_POOL, exchange -> RoutingFixture.sendResponse(exchange, 503, false));
        fixture.addTarget("b", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("b");
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        for (int each = 0; each < 5; each++) {
            assertThat(send("/plain-once/x").await()).isEqualTo("200");
        }
        assertThat(servedBy).hasSize(5);
    }

    /** Guards against a complete error response that is replaced by a failure of the router's own. */
    @Test
    void theErrorResponseOfATargetReachesTheCallerIfNoRetrySucceeds() throws Exception {
        for (String id : List.of("a", "b")) {
            fixture.addTarget(id, RoutingFixture.PLAIN_POOL, exchange -> {
                servedBy.add(id);
                RoutingFixture.sendResponse(exchange, 500, true);
            });
        }
        assertThat(send("/plain/x").await()).isEqualTo("500");
        assertThat(servedBy).containsExactly("a", "b");
    }

    @Test
    void aSuccessfulRetryReplacesTheErrorResponse() throws Exception {
        for (String id : List.of("a", "b")) {
            fixture.addTarget(id, RoutingFixture.PLAIN_POOL, exchange -> {
                servedBy.add(id);
                RoutingFixture.sendResponse(exchange, servedBy.size() == 1 ? 500 : 200, true);
            });
        }
        assertThat(send("/plain/x").await()).isEqualTo("200");
        assertThat(fixture.context.responseMemory().reservedBytes()).isEqualTo(0);
    }

    /** Guards against an error response that is kept back until the deadline when the retry gets no response. */
    @Test
    void anErrorResponseIsDeliveredWhenTheRetryIsLost() throws Exception {
        for (String id : List.of("a", "b")) {
            fixture.addTarget(id, RoutingFixture.PLAIN_POOL, exchange -> {
                servedBy.add(id);
                if (servedBy.size() == 1) {
                    RoutingFixture.sendResponse(exchange, 500, true);
                } else {
                    exchange.close();
                }
            });
        }
        assertThat(send("/plain/x").await()).isEqualTo("500");
    }

    @Test
    void aRequestWithoutATargetIsRefusedAtOnce() throws Exception {
        long start = clock.nowMillis();
        assertThat(send("/plain/x").await()).isEqualTo("pool-unavailable");
        assertThat(clock.nowMillis() - start).isLessThan(500);
    }

    @Test
    void aRequestWithoutAResponseBeforeItsDeadlineHasAnUnknownOutcome() throws Exception {
        fixture.addTarget("a", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("a");
            RoutingFixture.pause(3_000);
        });
        assertThat(send("/plain-once/x").await()).isEqualTo("deadline-after-send");
    }

    @Test
    void aRequestOfADisconnectedCallerIsNotSent() throws Exception {
        fixture.addTarget("a", RoutingFixture.KEYED_POOL, exchange -> {
            servedBy.add("a");
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of("b@1")));
        RoutingFixture.Outcome outcome = send("/keyed-once/x");
        RoutingFixture.pause(100);
        outcome.callerPresent = false;
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        RoutingFixture.pause(300);
        assertThat(servedBy).isEmpty();
    }

    @Test
    void anIdempotentRequestIsHedgedIfItsTargetIsSlow() throws Exception {
        fixture.addTarget("a", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("a");
            RoutingFixture.pause(servedBy.size() == 1 ? 1_500 : 0);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        fixture.addTarget("b", RoutingFixture.PLAIN_POOL, exchange -> {
            servedBy.add("b");
            RoutingFixture.pause(servedBy.size() == 1 ? 1_500 : 0);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        long start = clock.nowMillis();
        assertThat(send("/plain/x").await()).isEqualTo("200");
        assertThat(clock.nowMillis() - start).isLessThan(1_000);
        assertThat(servedBy).hasSize(2);
    }

    private RoutingFixture.Outcome send(String path) {
        return fixture.send(path, Optional.of("1"));
    }
}
