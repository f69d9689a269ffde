package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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

    /** The kernel's tables of TCP connections; those of Java are in the second one unless the system has no IPv6. */
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

    /** Fields of a connection in these tables. */
    private static final int LOCAL_ADDRESS_FIELD = 1;

    private static final int STATE_FIELD = 3;
    private static final int QUEUES_FIELD = 4;
    private static final String ESTABLISHED = "01";
    private static final String EMPTY_RECEIVE_QUEUE = ":00000000";

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
        Socket connection = connections.element();
        int routerPort = connection.getPort();
        action.serve(connection);
        awaitArrival(routerPort);
        targetHasActed.countDown();
        return second.await();
    }

    /** Waits until the router's end of a connection holds unread bytes or is no longer established. */
    private static void awaitArrival(int routerPort) throws IOException, InterruptedException {
        String localPort = ":%04X".formatted(routerPort);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RoutingFixture.MAX_WAIT_MILLIS);
        while (System.nanoTime() < deadlineNanos && isEstablishedAndEmpty(localPort)) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static boolean isEstablishedAndEmpty(String localPort) throws IOException {
        List<String> connections = new ArrayList<>();
        for (Path table : TABLES) {
            if (Files.exists(table)) {
                connections.addAll(Files.readAllLines(table));
            }
        }
        return connections.stream()
                .map(line -> line.trim().split(" +"))
                .anyMatch(fields -> fields[LOCAL_ADDRESS_FIELD].endsWith(localPort)
                        && fields[STATE_FIELD].equals(ESTABLISHED)
                        && fields[QUEUES_FIELD].endsWith(EMPTY_RECEIVE_QUEUE));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(RoutingFixture.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
