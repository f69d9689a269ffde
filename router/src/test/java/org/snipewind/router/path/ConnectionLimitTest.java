package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.target.ConnectionQuota;

/** Guards against more connections to a target than it accepts. */
final class ConnectionLimitTest {

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 0\r\n\r\n";

    /** The pools of the fixture accept 100 connections from all instances, and there is one. */
    private static final int LIMIT = ConnectionQuota.limit(100, 1);

    private final RoutingFixture fixture = new RoutingFixture();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger mostOpen = new AtomicInteger();
    private volatile String idHeader = "";

    @BeforeEach
    void startTarget() throws Exception {
        fixture.addSocketTarget("a", RoutingFixture.PLAIN_POOL, this::serve);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    private void serve(Socket connection) throws IOException {
        mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
        try {
            while (RoutingFixture.readHead(connection)) {
                RoutingFixture.write(connection, RESPONSE.formatted(idHeader));
            }
        } finally {
            open.decrementAndGet();
        }
    }

    /** A request without an id has a connection of its own, and each left one behind, whatever the limit was. */
    @Test
    void requestsWithoutAnIdStayWithinTheLimit() throws Exception {
        for (int request = 0; request < 3 * LIMIT; request++) {
            assertWithMessage("request %s", request)
                    .that(fixture.send("/plain/" + request, Optional.empty()).await())
                    .isEqualTo("200");
        }
        // The target notices the end of a connection a moment later.
        long deadlineMillis = fixture.clock.nowMillis() + RoutingFixture.MAX_WAIT_MILLIS;
        while (open.get() > LIMIT && fixture.clock.nowMillis() < deadlineMillis) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(open.get()).isAtMost(LIMIT);
    }

    @Test
    void requestsWithAnIdUseTheSameConnectionAgain() throws Exception {
        idHeader = "Id: 1\r\n";
        for (int request = 0; request < 20; request++) {
            assertThat(fixture.send("/plain/x", Optional.of("1")).await()).isEqualTo("200");
        }
        assertThat(mostOpen.get()).isEqualTo(1);
    }
}
