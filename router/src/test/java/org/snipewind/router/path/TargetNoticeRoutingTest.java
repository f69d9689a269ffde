package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** Guards against requests to a target that has said that it is leaving or wants none for some time. */
final class TargetNoticeRoutingTest {

    private static final int REQUESTS = 30;

    private final RoutingFixture fixture = new RoutingFixture();
    private final AtomicInteger firstReceived = new AtomicInteger();
    private final AtomicInteger secondReceived = new AtomicInteger();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    private void addFirst(String pool, String header, int status, String value) throws Exception {
        fixture.addTarget("a", pool, exchange -> {
            firstReceived.incrementAndGet();
            exchange.getResponseHeaders().set(header, value);
            RoutingFixture.sendResponse(exchange, status, status == 200);
        });
    }

    private void serveAsSecond(HttpExchange exchange) throws IOException {
        secondReceived.incrementAndGet();
        RoutingFixture.sendResponse(exchange, 200, true);
    }

    private String send(String path) throws Exception {
        return fixture.send(path, Optional.of("1")).await();
    }

    private void sendUntilFirstHasResponded(String path) throws Exception {
        while (firstReceived.get() == 0) {
            assertThat(send(path)).isEqualTo("200");
        }
    }

    @Test
    void aTargetOfAPoolThatIsLeavingGetsNoMoreRequests() throws Exception {
        addFirst(RoutingFixture.PLAIN_POOL, "Leaving", 200, "1");
        fixture.addTarget("b", RoutingFixture.PLAIN_POOL, this::serveAsSecond);
        sendUntilFirstHasResponded("/plain/x");
        for (int each = 0; each < REQUESTS; each++) {
            assertThat(send("/plain/x")).isEqualTo("200");
        }
        assertThat(firstReceived.get()).isEqualTo(1);
    }

    @Test
    void requestsAreRefusedAtOnceWhenAllTargetsOfAPoolAreLeaving() throws Exception {
        addFirst(RoutingFixture.PLAIN_POOL, "Leaving", 200, "1");
        sendUntilFirstHasResponded("/plain/x");
        RoutingFixture.Outcome refused = fixture.send("/plain/x", Optional.of("1"));
        assertThat(refused.await()).isEqualTo(ErrorKind.POOL_UNAVAILABLE.wireName());
        assertThat(refused.retryAfterMillis()).isGreaterThan(0);
        assertThat(firstReceived.get()).isEqualTo(1);
    }

    @Test
    void aTargetOfAPoolThatPausesGetsNoRequestsAndTheOthersServe() throws Exception {
        addFirst(RoutingFixture.PLAIN_POOL, "Pause", 503, "4000");
        fixture.addTarget("b", RoutingFixture.PLAIN_POOL, this::serveAsSecond);
        sendUntilFirstHasResponded("/plain-once/x");
        for (int each = 0; each < REQUESTS; each++) {
            assertThat(send("/plain-once/x")).isEqualTo("200");
        }
        assertThat(firstReceived.get()).isEqualTo(1);
    }

    @Test
    void requestsAreRefusedWithTheTimeLeftWhenAllTargetsOfAPoolPause() throws Exception {
        addFirst(RoutingFixture.PLAIN_POOL, "Pause", 503, "4000");
        send("/plain/x");
        int received = firstReceived.get();
        RoutingFixture.Outcome refused = fixture.send("/plain/x", Optional.of("1"));
        assertThat(refused.await()).isEqualTo(ErrorKind.TARGET_PAUSED.wireName());
        assertThat(refused.retryAfterMillis()).isGreaterThan(3_000);
        assertThat(firstReceived.get()).isEqualTo(received);
    }

    @Test
    void aRequestWaitsForItsOwnerIfThePauseEndsInTime() throws Exception {
        fixture.addTarget("a", RoutingFixture.KEYED_POOL, exchange -> {
            boolean pausing = firstReceived.getAndIncrement() == 0;
            exchange.getResponseHeaders().set("Pause", "150");
            RoutingFixture.sendResponse(exchange, pausing ? 503 : 200, !pausing);
        });
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        assertThat(send("/keyed-once/x")).isEqualTo(ErrorKind.TARGET_PAUSED.wireName());
        assertThat(send("/keyed-once/x")).isEqualTo("200");
    }

    @Test
    void aRequestIsRefusedAtOnceIfThePauseOfItsOwnerOutlastsIt() throws Exception {
        addFirst(RoutingFixture.KEYED_POOL, "Pause", 503, "4000");
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        send("/keyed-once/x");
        int received = firstReceived.get();
        long start = fixture.clock.nowMillis();
        RoutingFixture.Outcome refused = fixture.send("/keyed-once/x", Optional.of("1"));
        assertThat(refused.await()).isEqualTo(ErrorKind.TARGET_PAUSED.wireName());
        assertThat(fixture.clock.nowMillis() - start).isLessThan(400);
        assertThat(firstReceived.get()).isEqualTo(received);
    }

    @Test
    void theOwnerOfAKeyThatIsLeavingGetsNoMoreRequests() throws Exception {
        addFirst(RoutingFixture.KEYED_POOL, "Leaving", 200, "1");
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        assertThat(send("/keyed-once/x")).isEqualTo("200");
        assertThat(send("/keyed-once/x")).isEqualTo(ErrorKind.OWNER_UNAVAILABLE.wireName());
        assertThat(firstReceived.get()).isEqualTo(1);
    }
}
