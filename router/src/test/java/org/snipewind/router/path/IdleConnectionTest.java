package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are written to a connection after the target has spoiled or closed it, because the event
 * loop was busy and had not read that yet.
 */
final class IdleConnectionTest {

    private static final String RESPONSE = "HTTP/1.1 %s Status\r\nId: %s\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n";

    private final RoutingFixture fixture = new RoutingFixture();
    private final BlockingQueue<Socket> connections = new ArrayBlockingQueue<>(10);
    private final AtomicInteger requests = new AtomicInteger();

    @BeforeEach
    void startTarget() throws Exception {
        fixture.addSocketTarget("a", RoutingFixture.PLAIN_POOL, this::serve);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    /** Answers the first request of all with success, and the second one with a failure, each with its id. */
    private void serve(Socket connection) throws IOException {
        connections.add(connection);
        while (RoutingFixture.readHead(connection)) {
            boolean first = requests.incrementAndGet() == 1;
            RoutingFixture.write(connection, RESPONSE.formatted(first ? "200" : "500", first ? "1" : "2"));
        }
    }

    @Test
    void aRequestDoesNotFollowBytesThatWaitInTheSocket() throws Exception {
        assertThat(sendAfter(connection -> RoutingFixture.write(connection, "HTTP/1.1 200 Stat")))
                .isEqualTo("500");
    }

    @Test
    void aRequestIsNotWrittenToAConnectionThatTheTargetHasClosed() throws Exception {
        assertThat(sendAfter(Socket::close)).isEqualTo("500");
    }

    @Test
    void aRequestIsNotWrittenToAConnectionThatTheTargetHasReset() throws Exception {
        assertThat(sendAfter(connection -> {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }))
                .isEqualTo("500");
    }

    /** Sends two requests that must not run twice; between them, the target acts while the event loop is busy. */
    private String sendAfter(RoutingFixture.ConnectionHandler action) throws Exception {
        assertThat(fixture.send("/plain-once/x", Optional.of("1")).await()).isEqualTo("200");
        CountDownLatch loopIsBusy = new CountDownLatch(1);
        CountDownLatch targetHasActed = new CountDownLatch(1);
        fixture.loop.execute(() -> {
            loopIsBusy.countDown();
            awaitQuietly(targetHasActed);
        });
        loopIsBusy.await(RoutingFixture.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        RoutingFixture.Outcome second = fixture.send("/plain-once/x", Optional.of("2"));
        action.serve(connections.element());
        targetHasActed.countDown();
        return second.await();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(RoutingFixture.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
