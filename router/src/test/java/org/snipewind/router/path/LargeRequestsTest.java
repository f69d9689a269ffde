package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against bodies of requests that fill the heap, so that nobody is answered, and against bodies whose memory is
 * not released. The fixture has memory for one large body.
 */
final class LargeRequestsTest {

    private static final int LARGE_BYTES = 700_000;
    private static final int PART_BYTES = 100_000;

    private final RoutingFixture fixture = new RoutingFixture();
    private final MultiThreadIoEventLoopGroup acceptors = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CallerServer server = new CallerServer(acceptors, fixture.loops, fixture.context);
    private final byte[] body = new byte[LARGE_BYTES];
    private final List<byte[]> arrived = new CopyOnWriteArrayList<>();
    private final List<Socket> callers = new CopyOnWriteArrayList<>();
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        new Random(1).nextBytes(body);
        address = server.start(new InetSocketAddress("127.0.0.1", 0));
        for (String target : List.of("a", "b")) {
            fixture.addTarget(target, RoutingFixture.PLAIN_POOL, exchange -> {
                arrived.add(exchange.getRequestBody().readAllBytes());
                RoutingFixture.sendResponse(exchange, 200, true);
            });
        }
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        server.closeListener();
        fixture.stop();
        acceptors.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void aBodyBeyondTheMemoryIsRefusedAsNotRunBeforeItIsReceived() throws Exception {
        Socket first = sendHead("Content-Length: " + LARGE_BYTES);
        send(first, body, 0, PART_BYTES);
        Socket second = sendHead("Content-Length: " + LARGE_BYTES);
        send(second, body, 0, 1_000);
        assertThat(readResponse(second)).startsWith("HTTP/1.1 503 ");
        send(first, body, PART_BYTES, LARGE_BYTES - PART_BYTES);
        assertThat(readResponse(first)).startsWith("HTTP/1.1 200 ");
        assertThat(arrived).hasSize(1);
    }

    @Test
    void theRefusalSaysThatTheRequestDidNotRunAndWhenToSendItAgain() throws Exception {
        occupyMemory();
        String response = readResponse(sendHead("Content-Length: " + LARGE_BYTES));
        assertThat(response).contains("\r\nretry-after: 0.5\r\n");
        assertThat(response).contains("\r\nconnection: close\r\n");
        assertThat(response).endsWith("\r\n\r\ndaemon-bytes-limit\n");
    }

    /** Closing a connection with unread bytes resets it, and the caller would lose the refusal. */
    @Test
    void aCallerThatSendsItsWholeBodyFirstGetsTheRefusalAndNoPartOfItRuns() throws Exception {
        occupyMemory();
        Socket caller = send("PUT /plain/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: " + LARGE_BYTES);
        byte[] requests = "GET /plain/hidden HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        for (int sent = 0; sent < LARGE_BYTES; sent += requests.length) {
            caller.getOutputStream().write(requests);
        }
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(readResponse(caller)).startsWith("HTTP/1.1 503 ");
        assertThat(arrived).isEmpty();
    }

    @Test
    void aSmallRequestIsServedWhileLargeBodiesWaitForMemory() throws Exception {
        occupyMemory();
        for (int each = 0; each < 5; each++) {
            sendHead("Content-Length: " + LARGE_BYTES);
        }
        Socket small = sendHead("Content-Length: 20000");
        send(small, body, 0, 20_000);
        assertThat(readResponse(small)).startsWith("HTTP/1.1 200 ");
        assertThat(arrived.get(0)).isEqualTo(Arrays.copyOf(body, 20_000));
    }

    @Test
    void aBodyWithoutLengthIsRefusedWhenItOutgrowsTheMemory() throws Exception {
        occupyMemory();
        Socket caller = sendHead("Transfer-Encoding: chunked");
        for (int sent = 0; sent < LARGE_BYTES; sent += PART_BYTES) {
            caller.getOutputStream().write((Integer.toHexString(PART_BYTES) + "\r\n").getBytes());
            send(caller, body, sent, PART_BYTES);
            caller.getOutputStream().write("\r\n".getBytes());
        }
        assertThat(readResponse(caller)).startsWith("HTTP/1.1 503 ");
        assertThat(arrived).isEmpty();
    }

    @Test
    void aBodyGoesOnWhenMemoryIsReleasedInTime() throws Exception {
        Socket first = occupyMemory();
        Socket second = sendHead("Content-Length: " + LARGE_BYTES);
        first.close();
        send(second, body, 0, LARGE_BYTES);
        assertThat(readResponse(second)).startsWith("HTTP/1.1 200 ");
        assertThat(arrived.get(0)).isEqualTo(body);
    }

    @Test
    void aCallerThatWaitsForPermissionToSendItsBodyGetsItOnceThereIsMemory() throws Exception {
        Socket first = occupyMemory();
        Socket second = sendHead("Expect: 100-continue\r\nContent-Length: " + LARGE_BYTES);
        first.close();
        assertThat(new String(second.getInputStream().readNBytes(21), StandardCharsets.US_ASCII))
                .isEqualTo("HTTP/1.1 100 Continue");
        send(second, body, 0, LARGE_BYTES);
        assertThat(readResponse(second)).contains("HTTP/1.1 200 ");
    }

    @Test
    void theMemoryOfABodyIsReleasedAfterTheAnswer() throws Exception {
        for (int each = 0; each < 3; each++) {
            Socket caller = sendHead("Content-Length: " + LARGE_BYTES);
            send(caller, body, 0, LARGE_BYTES);
            assertThat(readResponse(caller)).startsWith("HTTP/1.1 200 ");
            awaitTrue(() -> fixture.context.requestMemory().reservedBytes() == 0);
        }
        arrived.forEach(each -> assertThat(each).isEqualTo(body));
    }

    @Test
    void memoryIsReleasedWhenTheCallerLeavesOrIsRefused() throws Exception {
        Socket leaving = occupyMemory();
        readResponse(sendHead("Content-Length: " + LARGE_BYTES));
        assertThat(fixture.context.requestMemory().reservedBytes()).isEqualTo(LARGE_BYTES);
        leaving.close();
        awaitTrue(() -> fixture.context.requestMemory().reservedBytes() == 0);
        Socket unrouted =
                send("PUT /unknown HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + LARGE_BYTES);
        send(unrouted, body, 0, LARGE_BYTES);
        assertThat(readResponse(unrouted)).startsWith("HTTP/1.1 404 ");
        awaitTrue(() -> fixture.context.requestMemory().reservedBytes() == 0);
    }

    /** Starts a request whose body takes most of the memory and doesn't end. */
    private Socket occupyMemory() throws Exception {
        Socket caller = sendHead("Content-Length: " + LARGE_BYTES);
        awaitTrue(() -> fixture.context.requestMemory().reservedBytes() == LARGE_BYTES);
        return caller;
    }

    private Socket sendHead(String framing) throws IOException {
        return send("PUT /plain/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n" + framing);
    }

    private Socket send(String head) throws IOException {
        Socket caller = new Socket(address.getAddress(), address.getPort());
        callers.add(caller);
        caller.setSoTimeout((int) RoutingFixture.MAX_WAIT_MILLIS);
        caller.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private static void send(Socket caller, byte[] from, int offset, int length) throws IOException {
        caller.getOutputStream().write(from, offset, length);
    }

    private static String readResponse(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        long end = fixture.clock.nowMillis() + RoutingFixture.MAX_WAIT_MILLIS;
        while (!condition.getAsBoolean() && fixture.clock.nowMillis() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
