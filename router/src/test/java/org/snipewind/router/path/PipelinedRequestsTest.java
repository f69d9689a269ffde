package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests sent ahead on one connection that wait for each other without need, run although the caller
 * was told that they were not read, or go on after the caller has left.
 */
final class PipelinedRequestsTest {

    private final RoutingFixture fixture = new RoutingFixture();
    private final MultiThreadIoEventLoopGroup acceptors = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CallerServer server = new CallerServer(acceptors, fixture.loops, fixture.context);
    private final List<String> arrived = new CopyOnWriteArrayList<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private Socket caller;

    @BeforeEach
    void connect() throws Exception {
        InetSocketAddress address = server.start(new InetSocketAddress("127.0.0.1", 0));
        caller = new Socket("127.0.0.1", address.getPort());
        caller.setSoTimeout((int) RoutingFixture.MAX_WAIT_MILLIS);
        fixture.addTarget("a", RoutingFixture.PLAIN_POOL, exchange -> {
            String path = exchange.getRequestURI().getPath();
            arrived.add(path);
            if (path.endsWith("/wait")) {
                awaitRelease();
            }
            exchange.getResponseHeaders().set("Path", path);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
    }

    @AfterEach
    void stop() throws IOException {
        release.countDown();
        caller.close();
        server.closeListener();
        fixture.stop();
        acceptors.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void idempotentRequestsRunSideBySideAndAreAnsweredInOrder() throws Exception {
        send("/plain/wait", "/plain/2", "/plain/3");
        awaitArrivals(3);
        release.countDown();
        assertThat(pathsOfResponses(3))
                .containsExactly("/plain/wait", "/plain/2", "/plain/3")
                .inOrder();
    }

    @Test
    void aRequestThatMayRunOnceOnlyStartsAfterTheResponsesBeforeIt() throws Exception {
        send("/plain/wait", "/plain-once/2", "/plain/3");
        awaitArrivals(1);
        TimeUnit.MILLISECONDS.sleep(200);
        assertThat(arrived).containsExactly("/plain/wait");
        release.countDown();
        assertThat(pathsOfResponses(3))
                .containsExactly("/plain/wait", "/plain-once/2", "/plain/3")
                .inOrder();
    }

    @Test
    void requestsBehindARequestThatMayRunOnceOnlyWaitForItsResponse() throws Exception {
        send("/plain-once/wait", "/plain/2");
        awaitArrivals(1);
        TimeUnit.MILLISECONDS.sleep(200);
        assertThat(arrived).containsExactly("/plain-once/wait");
        release.countDown();
        assertThat(pathsOfResponses(2)).hasSize(2);
    }

    @Test
    void aRequestBehindOneThatWasRefusedIsCancelledWhenTheCallerLeaves() throws Exception {
        send("/no-such-route/1", "/plain/wait");
        awaitArrivals(1);
        caller.close();
        awaitCancelled(1);
    }

    @Test
    void allRequestsAreCancelledWhenTheCallerLeaves() throws Exception {
        send("/plain/wait", "/plain/wait", "/plain/wait", "/plain/wait", "/plain/not-started");
        awaitArrivals(4);
        caller.close();
        awaitCancelled(4);
        release.countDown();
        assertThat(arrived).doesNotContain("/plain/not-started");
    }

    @Test
    void requestsThatHaveStartedAreAnsweredWhenTheServerDrains() throws Exception {
        send("/plain/wait", "/plain/2");
        awaitArrivals(2);
        server.drain();
        send("/plain/not-read");
        TimeUnit.MILLISECONDS.sleep(100);
        release.countDown();
        String responses = readToEnd();
        assertThat(paths(responses)).containsExactly("/plain/wait", "/plain/2").inOrder();
        assertThat(responses.split("close", -1)).hasLength(2);
        assertThat(responses.indexOf("close")).isGreaterThan(responses.indexOf("/plain/wait"));
        assertThat(arrived).doesNotContain("/plain/not-read");
    }

    /** Guards against a new connection that a stopping server closes while its first request is on the way. */
    @Test
    void aConnectionThatWasJustAcceptedIsNotClosedBeforeItsRequestArrives() throws Exception {
        awaitConnections(1);
        server.drain();
        server.closeIdle();
        TimeUnit.MILLISECONDS.sleep(50);
        send("/plain/1");
        assertThat(paths(readToEnd())).containsExactly("/plain/1");
    }

    @Test
    void aConnectionThatStaysIdleIsClosedWhenTheServerDrains() throws Exception {
        awaitConnections(1);
        server.drain();
        long end = fixture.clock.nowMillis() + RoutingFixture.MAX_WAIT_MILLIS;
        while (server.connections() > 0 && fixture.clock.nowMillis() < end) {
            server.closeIdle();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(readToEnd()).isEmpty();
    }

    @Test
    void aRequestBehindOneThatClosesTheConnectionIsNotStarted() throws Exception {
        write("GET /plain/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n"
                + "GET /plain/2 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n");
        assertThat(paths(readToEnd())).containsExactly("/plain/1");
        assertThat(arrived).containsExactly("/plain/1");
    }

    @Test
    void requestsBeforeAMalformedOneAreAnswered() throws Exception {
        write("GET /plain/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\nnonsense\r\n\r\n");
        assertThat(paths(readToEnd())).containsExactly("/plain/1");
    }

    @Test
    void manyRequestsSentAheadAreAllAnswered() throws Exception {
        List<String> expected = new ArrayList<>();
        for (int each = 0; each < 100; each++) {
            expected.add("/plain/" + each);
        }
        send(expected.toArray(String[]::new));
        assertThat(pathsOfResponses(100)).containsExactlyElementsIn(expected).inOrder();
    }

    private void awaitRelease() {
        try {
            release.await(RoutingFixture.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitConnections(int count) throws InterruptedException {
        long end = fixture.clock.nowMillis() + RoutingFixture.MAX_WAIT_MILLIS;
        while (server.connections() < count && fixture.clock.nowMillis() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void awaitArrivals(int count) throws InterruptedException {
        long end = fixture.clock.nowMillis() + RoutingFixture.MAX_WAIT_MILLIS;
        while (arrived.size() < count && fixture.clock.nowMillis() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(arrived.size()).isAtLeast(count);
    }

    private void awaitCancelled(int count) throws InterruptedException {
        long end = fixture.clock.nowMillis() + RoutingFixture.MAX_WAIT_MILLIS;
        while (fixture.context.metrics().counterValue("callers.left") < count && fixture.clock.nowMillis() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(fixture.context.metrics().counterValue("callers.left")).isEqualTo(count);
        assertThat(fixture.worker.inProgress()).isEqualTo(0);
    }

    private void send(String... paths) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String path : paths) {
            requests.append("GET ").append(path).append(" HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n");
        }
        write(requests.toString());
    }

    private void write(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        caller.getOutputStream().flush();
    }

    /** Reads responses without a body until there are as many as expected. */
    private List<String> pathsOfResponses(int count) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        InputStream in = caller.getInputStream();
        byte[] buffer = new byte[4_096];
        while (paths(read.toString(StandardCharsets.US_ASCII)).size() < count) {
            int length = in.read(buffer);
            if (length < 0) {
                break;
            }
            read.write(buffer, 0, length);
        }
        return paths(read.toString(StandardCharsets.US_ASCII));
    }

    private String readToEnd() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static List<String> paths(String responses) {
        List<String> paths = new ArrayList<>();
        Matcher matcher = Pattern.compile("(?i)\r\nPath: (\\S+)\r\n").matcher(responses);
        while (matcher.find()) {
            paths.add(matcher.group(1));
        }
        return paths;
    }
}
