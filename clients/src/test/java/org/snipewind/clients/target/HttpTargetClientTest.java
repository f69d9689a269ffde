package org.snipewind.clients.target;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/** Guards against execution states that the exchange does not prove, and against requests that are sent twice. */
final class HttpTargetClientTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    @Test
    void aRequestOnAClosedConnectionIsSentOnceAndReportedLost() throws Exception {
        try (ScriptedServer server = new ScriptedServer(false, OK, ScriptedServer.CLOSE, OK);
                HttpTargetClient client = newClient(server.address())) {
            assertThat(send(client, 5_000).get().status()).isEqualTo(200);
            assertThat(kindOf(send(client, 5_000))).isEqualTo(ErrorKind.TARGET_LOST);
            assertThat(server.requests()).hasSize(2);
        }
    }

    @Test
    void aTruncatedResponseIsIncomplete() throws Exception {
        for (String truncated : List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                "HTTP/1.1 200 OK\r\n\r\nok")) {
            try (ScriptedServer server = new ScriptedServer(true, truncated);
                    HttpTargetClient client = newClient(server.address())) {
                assertThat(kindOf(send(client, 5_000))).isEqualTo(ErrorKind.ANSWER_INCOMPLETE);
                assertThat(server.requests()).hasSize(1);
            }
        }
    }

    @Test
    void aResponseAboveTheLimitIsRejected() throws Exception {
        String large = "x".repeat((1 << 20) + 1);
        for (String response : List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: " + large.length() + "\r\n\r\n" + large,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + large + "\r\n0\r\n\r\n")) {
            try (ScriptedServer server = new ScriptedServer(false, response);
                    HttpTargetClient client = newClient(server.address())) {
                assertThat(kindOf(send(client, 5_000))).isEqualTo(ErrorKind.ANSWER_TOO_LARGE);
            }
        }
    }

    @Test
    void aConnectionThatCannotBeOpenedMeansNotRun() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        try (HttpTargetClient client = newClient("127.0.0.1:" + port)) {
            assertThat(kindOf(send(client, 5_000))).isEqualTo(ErrorKind.TARGET_UNREACHABLE);
            ExecutionException failure = Assertions.assertThrows(
                    ExecutionException.class,
                    () -> client.grant(new GrantRequest("a", 1, 0, java.util.Set.of(), 0))
                            .get(5, TimeUnit.SECONDS));
            assertThat(causes(failure)).contains("ConnectException");
        }
    }

    @Test
    void aDeadlineThatPassesAfterTheSendCancelsTheRequest() throws Exception {
        try (ScriptedServer server = new ScriptedServer(false, ScriptedServer.NO_RESPONSE);
                HttpTargetClient client = newClient(server.address())) {
            assertThat(kindOf(send(client, 100))).isEqualTo(ErrorKind.DEADLINE_AFTER_SEND);
            assertTimeoutPreemptively(Duration.ofSeconds(5), () -> {
                while (server.requests().size() < 2) {
                    Thread.sleep(5);
                }
            });
            assertThat(server.requests().get(1)).startsWith("DELETE /snipewind/requests/request-1 ");
        }
    }

    @Test
    void anUnresponsiveTargetOccupiesConnectionsWithoutBlockingGrants() throws Exception {
        String grant = "{\"accepted\":true,\"highestToken\":3,\"targetMillis\":5,\"incarnation\":\"i\","
                + "\"releasedWork\":0,\"draining\":false}";
        try (ScriptedServer server = new ScriptedServer(
                        false,
                        ScriptedServer.NO_RESPONSE,
                        ScriptedServer.NO_RESPONSE,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + grant.length() + "\r\n\r\n" + grant);
                HttpTargetClient client = new HttpTargetClient(server.address(), 2, 1_000, 1_000)) {
            assertThat(kindOf(send(client, 50))).isEqualTo(ErrorKind.DEADLINE_AFTER_SEND);
            assertThat(kindOf(send(client, 50))).isEqualTo(ErrorKind.DEADLINE_AFTER_SEND);
            assertThat(kindOf(send(client, 50))).isEqualTo(ErrorKind.OVERLOADED);
            GrantRequest request = new GrantRequest("a", 3, 9, java.util.Set.of(1, 2), 4);
            assertThat(client.grant(request).get(5, TimeUnit.SECONDS))
                    .isEqualTo(new GrantAcknowledgement(true, 3, 5, "i", 0, false));
        }
    }

    @Test
    void onlyANotRunHeaderIsARejection() throws Exception {
        String head = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n";
        try (ScriptedServer server = new ScriptedServer(
                        false,
                        head + "Snipewind-Not-Run: shed\r\n\r\n",
                        head + "Snipewind-Not-Run: fenced\r\n\r\n",
                        head + "\r\n",
                        "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n");
                HttpTargetClient client = newClient(server.address())) {
            assertThat(kindOf(send(client, 5_000))).isEqualTo(ErrorKind.TARGET_SHED);
            assertThat(kindOf(send(client, 5_000))).isEqualTo(ErrorKind.FENCED);
            assertThat(send(client, 5_000).get().status()).isEqualTo(503);
            assertThat(send(client, 5_000).get().status()).isEqualTo(302);
        }
    }

    @Test
    void onlyEndToEndHeadersArePassedOn() throws Exception {
        try (ScriptedServer server = new ScriptedServer(
                        false,
                        "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
                                + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
                HttpTargetClient client = newClient(server.address())) {
            TargetResponse response = send(client, 5_000).get();
            assertThat(response.headers()).containsEntry("Set-Cookie", List.of("a", "b"));
            assertThat(response.headers()).doesNotContainKey("X-Hop");
            assertThat(response.body()).isEqualTo(new byte[] {'o', 'k'});
            String sent = server.requests().get(0);
            assertThat(sent).startsWith("POST /book?seat=1%20a HTTP/1.1\r\n");
            assertThat(sent).contains("\r\nX-Two: 1\r\nX-Two: 2\r\n");
            assertThat(sent).ignoringCase().contains("\r\nSnipewind-Token: 7\r\n");
            assertThat(sent).ignoringCase().contains("\r\nSnipewind-Slice: 12\r\n");
            assertThat(sent).ignoringCase().contains("\r\nContent-Length: 4\r\n");
            assertThat(sent).doesNotContain("forged");
            assertThat(sent).doesNotContain("Keep-Alive");
        }
    }

    private static HttpTargetClient newClient(String address) {
        return new HttpTargetClient(address, 4, 1_000, 1_000);
    }

    private static Either<Refusal, TargetResponse> send(HttpTargetClient client, long remainingMillis)
            throws Exception {
        Map<String, List<String>> headers = Map.of(
                "X-Two", List.of("1", "2"), "snipewind-token", List.of("forged"), "Keep-Alive", List.of("max=1"));
        TargetRequest request = new TargetRequest(
                "request-1",
                "org",
                "POST",
                "/book?seat=1%20a",
                headers,
                new byte[] {'b', 'o', 'd', 'y'},
                OptionalInt.of(12),
                7,
                remainingMillis);
        return client.send(request).get(10, TimeUnit.SECONDS);
    }

    private static ErrorKind kindOf(Either<Refusal, TargetResponse> outcome) {
        return outcome.getLeft().kind();
    }

    private static String causes(Throwable failure) {
        StringBuilder names = new StringBuilder();
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            names.append(cause.getClass().getName()).append(' ');
        }
        return names.toString();
    }
}
