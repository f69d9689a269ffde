package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.routing.CallerLimits;

/**
 * Guards against responses of targets whose end is unclear and that reach a caller as complete, and against bytes on a
 * caller's connection that belong to none of its requests.
 */
final class ResponseFramingTest {

    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n";
    private static final long BEYOND_HEADER_TIMEOUT_MILLIS = CallerLimits.DEFAULT.headerTimeoutMillis() + 1_000;
    private static final String CHUNKED_HELLO = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";

    private final RoutingFixture fixture = new RoutingFixture();
    private final MultiThreadIoEventLoopGroup acceptors = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CallerServer server = new CallerServer(acceptors, fixture.loops, fixture.context);
    private volatile String targetResponse = "";
    private volatile boolean closing;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        address = server.start(new InetSocketAddress("127.0.0.1", 0));
        fixture.addSocketTarget("a", RoutingFixture.PLAIN_POOL, connection -> {
            while (RoutingFixture.readHead(connection)) {
                RoutingFixture.write(connection, targetResponse);
                if (closing) {
                    return;
                }
            }
        });
    }

    @AfterEach
    void stop() throws IOException {
        server.closeListener();
        fixture.stop();
        acceptors.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void aResponseWhoseLengthIsUnclearIsNotForwarded() throws Exception {
        for (String length :
                List.of("2\r\nContent-Length: 5", "5\r\nContent-Length: 5", "2, 5", "+5", "-5", "x5", "")) {
            targetResponse = SUCCESS + "Content-Length: " + length + "\r\n\r\nhello";
            assertWithMessage(length).that(get()).startsWith("HTTP/1.1 502 ");
        }
    }

    @Test
    void aResponseWhoseChunksAreMalformedIsNotForwarded() throws Exception {
        for (String chunks : List.of("+5\r\nhello\r\n0\r\n\r\n", "-1\r\nhello\r\n0\r\n\r\n", "5\r\nhelloXX0\r\n\r\n")) {
            targetResponse = SUCCESS + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
            assertWithMessage(chunks).that(get()).startsWith("HTTP/1.1 502 ");
        }
    }

    @Test
    void aResponseThatEndsEarlyIsNotForwarded() throws Exception {
        closing = true;
        String whole = SUCCESS + CHUNKED_HELLO + "0\r\nLast: 1\r\n\r\n";
        for (int length = 1; length < whole.length(); length++) {
            targetResponse = whole.substring(0, length);
            assertWithMessage(targetResponse).that(get()).startsWith("HTTP/1.1 502 ");
        }
        targetResponse = SUCCESS + "Content-Length: 6\r\n\r\nhello";
        assertThat(get()).startsWith("HTTP/1.1 502 ");
    }

    @Test
    void aResponseIsForwardedWithOneLengthOnly() throws Exception {
        targetResponse = SUCCESS + "Content-Length: 3\r\n" + CHUNKED_HELLO + "0\r\nContent-Length: 9\r\n\r\n";
        assertThat(get()).isEqualTo(SUCCESS + "content-length: 5\r\nconnection: close\r\n\r\nhello");
    }

    @Test
    void interimResponsesAreNotForwarded() throws Exception {
        targetResponse = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: 1\r\nContent-Length: 9\r\n\r\n"
                + SUCCESS + "Content-Length: 5\r\n\r\nhello";
        assertThat(get()).isEqualTo(SUCCESS + "content-length: 5\r\nconnection: close\r\n\r\nhello");
    }

    // The caller got a status line that is no HTTP, and "+200" as a success.
    @Test
    void aResponseWhoseStatusIsNotOfThreeDigitsIsNotForwarded() throws Exception {
        for (String status : List.of("20", "99", "099", "000", "0200", "+200", "600", "999", "1000", "2 00")) {
            targetResponse = "HTTP/1.1 " + status + " OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nhello";
            assertWithMessage(status).that(get()).startsWith("HTTP/1.1 502 ");
        }
    }

    // A target that compresses its response as a transfer coding had its compressed bytes forwarded as the body.
    @Test
    void aResponseWithAnUnknownTransferCodingIsNotForwarded() throws Exception {
        for (String codings : List.of("gzip, chunked", "gzip\r\nTransfer-Encoding: chunked", "chunked, chunked")) {
            targetResponse = SUCCESS + "Transfer-Encoding: " + codings + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
            assertWithMessage(codings).that(get()).startsWith("HTTP/1.1 502 ");
        }
        targetResponse = SUCCESS + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello";
        assertThat(get()).startsWith("HTTP/1.1 502 ");
    }

    // The signature was dropped as a header of one connection only after the response had been accepted for it.
    @Test
    void aSuccessWhoseSignatureIsNotForwardedIsNone() throws Exception {
        targetResponse = SUCCESS + "Connection: keep-alive, Signed\r\nContent-Length: 5\r\n\r\nhello";
        assertThat(get()).startsWith("HTTP/1.1 502 ");
        targetResponse = SUCCESS + "Other: 1\r\nConnection: keep-alive, Other\r\nContent-Length: 5\r\n\r\nhello";
        assertThat(get()).isEqualTo(SUCCESS + "content-length: 5\r\nconnection: close\r\n\r\nhello");
    }

    // Only the last one of several headers with the same name reached the caller.
    @Test
    void allHeadersOfTheSameNameAreForwarded() throws Exception {
        targetResponse = SUCCESS + "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n";
        assertThat(get()).contains("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n");
    }

    @Test
    void aResponseThatNeverHasABodyIsForwardedWithoutOne() throws Exception {
        targetResponse = "HTTP/1.1 204 No Content\r\nId: 1\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nhello";
        assertThat(get()).isEqualTo("HTTP/1.1 204 No Content\r\nId: 1\r\nSigned: 1\r\nconnection: close\r\n\r\n");
    }

    // The length in a 304 is that of the body that is not sent; the caller got a length of 0 in place of it.
    @Test
    void theLengthInAResponseWithoutItsBodyIsForwardedUnchanged() throws Exception {
        targetResponse = "HTTP/1.1 304 Not Modified\r\nId: 1\r\nSigned: 1\r\nContent-Length: 5\r\n\r\n";
        assertThat(get())
                .isEqualTo("HTTP/1.1 304 Not Modified\r\nId: 1\r\nSigned: 1\r\nContent-Length: 5\r\n"
                        + "connection: close\r\n\r\n");
        targetResponse = SUCCESS + "Content-Length: 5\r\n\r\n";
        assertThat(ask("HEAD", "Connection: close\r\n"))
                .isEqualTo(SUCCESS + "Content-Length: 5\r\nconnection: close\r\n\r\n");
    }

    // A refusal that closes the connection had a body also for HEAD, whose responses end with their head.
    @Test
    void aRefusalOfAHeadRequestHasNoBody() throws Exception {
        for (String headers : List.of("Host: h\r\n", "Content-Length: 9999999999\r\n")) {
            String refusal = ask("HEAD", headers);
            assertWithMessage(headers).that(refusal).startsWith("HTTP/1.1 4");
            assertWithMessage(headers).that(refusal).endsWith("\r\n\r\n");
        }
    }

    @Test
    void theInterimResponseToARequestSentAheadIsNotWrittenBeforeTheResponsesInFrontOfIt() throws Exception {
        targetResponse = SUCCESS + "Content-Length: 5\r\n\r\nhello";
        String response = SUCCESS + "content-length: 5\r\n\r\nhello";
        String ahead = "POST /plain-once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nExpect: 100-continue\r\n"
                + "Content-Length: 2\r\n\r\nhi";
        try (Socket caller = connect()) {
            RoutingFixture.write(caller, request("GET", "") + ahead + request("GET", "Connection: close\r\n"));
            assertThat(readToEnd(caller))
                    .isEqualTo(response + response + SUCCESS + "content-length: 5\r\nconnection: close\r\n\r\nhello");
        }
    }

    // An empty line behind a request counted as the beginning of the next one, and the caller got a 408 for it.
    @Test
    void anEmptyLineBehindARequestGetsNoResponse() throws Exception {
        targetResponse = SUCCESS + "Content-Length: 5\r\n\r\nhello";
        try (Socket caller = connect()) {
            RoutingFixture.write(caller, request("GET", "") + "\r\n");
            TimeUnit.MILLISECONDS.sleep(BEYOND_HEADER_TIMEOUT_MILLIS / 2);
            RoutingFixture.write(caller, "\r\n");
            TimeUnit.MILLISECONDS.sleep(BEYOND_HEADER_TIMEOUT_MILLIS);
            RoutingFixture.write(caller, "\r\n" + request("GET", "Connection: close\r\n"));
            assertThat(readToEnd(caller))
                    .isEqualTo(SUCCESS + "content-length: 5\r\n\r\nhello" + SUCCESS
                            + "content-length: 5\r\nconnection: close\r\n\r\nhello");
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(address.getAddress(), address.getPort());
        caller.setSoTimeout((int) RoutingFixture.MAX_WAIT_MILLIS);
        return caller;
    }

    private String get() throws IOException {
        return ask("GET", "Connection: close\r\n");
    }

    private String ask(String method, String headers) throws IOException {
        try (Socket caller = connect()) {
            RoutingFixture.write(caller, request(method, headers));
            return readToEnd(caller);
        }
    }

    private static String request(String method, String headers) {
        return method + " /plain-once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n" + headers + "\r\n";
    }

    private static String readToEnd(Socket caller) throws IOException {
        try (InputStream in = caller.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
