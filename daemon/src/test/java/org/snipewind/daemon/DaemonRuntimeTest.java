package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.concurrent.TimeUnit.SECONDS;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.settings.RequestLimits;

class DaemonRuntimeTest {

    private static DaemonFixture daemon;

    @BeforeAll
    static void start() throws Exception {
        daemon = new DaemonFixture(DaemonFixture.LIMITS);
    }

    @AfterAll
    static void stop() {
        daemon.close();
    }

    @BeforeEach
    void reset() {
        daemon.target.requests.clear();
        daemon.target.cancelled.clear();
        daemon.target.respondWith(
                200, Map.of("Content-Type", List.of("text/plain")), "done".getBytes(DaemonFixture.UTF_8));
    }

    // Guards against a method, query, header or body that is changed between caller and target.
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS"})
    void aRequestReachesTheTargetUnchanged(String method) throws Exception {
        String body = method.startsWith("P") || method.equals("DELETE") ? "\0\u00ff body" : "";
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        RawCaller.Response response = daemon.call(
                DaemonFixture.request(method + " /a/b?x=1&x=2&y=%2F+z HTTP/1.1", length + "X-Two: a\r\nX-Two: b, c\r\n")
                        + body);
        assertThat(response.status).isEqualTo(200);
        TargetRequest seen = daemon.target.requests.poll(5, SECONDS);
        assertThat(seen.method()).isEqualTo(method);
        assertThat(seen.uri()).isEqualTo("/a/b?x=1&x=2&y=%2F+z");
        assertThat(seen.headers().get("X-Two")).containsExactly("a", "b, c").inOrder();
        assertThat(seen.body()).isEqualTo(body.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        assertThat(seen.organisation()).isEqualTo("acme");
    }

    // Guards against normalisation or decoding of paths, after which the target would receive a different path.
    @ParameterizedTest
    @ValueSource(strings = {"/a/../b", "/a%2Fb", "/a/%2e%2e/b", "/a//b", "/a;b=c", "/-", "/a?q=/-/x", "/a%7Cb"})
    void aPathIsPassedOnUnchanged(String path) throws Exception {
        RawCaller.Response response = daemon.call(DaemonFixture.request("GET " + path + " HTTP/1.1", ""));
        assertWithMessage(response.headers + response.text())
                .that(response.status)
                .isEqualTo(200);
        assertThat(daemon.target.requests.poll(5, SECONDS).uri()).isEqualTo(path);
    }

    // Guards against stack traces, HTML pages or wrong routes in response to invalid HTTP requests.
    @ParameterizedTest
    @CsvSource({
        "GET /b|d HTTP/1.1,malformed-request,400",
        "GET /%zz HTTP/1.1,malformed-request,400",
        "GET /a?b={c} HTTP/1.1,malformed-request,400",
        "GET /% HTTP/1.1,malformed-request,400",
        "GET // HTTP/1.1,malformed-request,400",
        "GET //a//b HTTP/1.1,malformed-request,400",
        "GET http://other/a HTTP/1.1,malformed-request,400",
        "BREW /pot HTTP/1.1,method-unsupported,405",
        "TRACE /pot HTTP/1.1,method-unsupported,405",
        "GET /-/status HTTP/1.1,route-unknown,404",
        "GET /-/nothing HTTP/1.1,route-unknown,404",
        "POST /-/live HTTP/1.1,route-unknown,404"
    })
    void aRequestThatCannotBeRoutedIsRefusedInTheUsualForm(String line, String kind, int status) {
        RawCaller.Response response = daemon.call(DaemonFixture.request(line, "Accept: text/html\r\n"));
        assertRefusal(response, kind, status, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against request smuggling: headers that allow two interpretations of where a request ends.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                "Content-Length: 5\r\nContent-Length: 6\r\n",
                "Content-Length: 5, 6\r\n",
                "Transfer-Encoding: chunked, identity\r\n",
                "Transfer-Encoding: xchunked\r\n"
            })
    void aRequestWithTwoReadingsOfItsEndIsRefused(String headers) {
        RawCaller.Response response =
                daemon.call("POST /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY + "\r\n" + headers
                        + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY
                        + "\r\n\r\n");
        assertRefusal(response, "malformed-request", 400, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against an organisation's key that is passed to a target, logged, or shown in metrics or the status.
    @ParameterizedTest
    @ValueSource(strings = {"Snipewind-Key: ", "Authorization: Bearer ", "authorization: bearer "})
    void theKeyIsNotPassedOnOrLogged(String header) throws Exception {
        Logger root = (Logger) LoggerFactory.getLogger("ROOT");
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        root.addAppender(lines);
        RawCaller.Response response = daemon.call("GET /a HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n" + header
                + DaemonFixture.KEY + "\r\nX-Kept: yes\r\n\r\n");
        assertThat(response.status).isEqualTo(200);
        daemon.call(
                "GET /% HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n" + header + DaemonFixture.KEY + "\r\n\r\n");
        root.detachAppender(lines);
        TargetRequest seen = daemon.target.requests.poll(5, SECONDS);
        assertThat(seen.headers().keySet()).contains("X-Kept");
        assertThat(seen.headers().toString()).doesNotContain(DaemonFixture.KEY);
        assertThat(List.copyOf(lines.list).toString()).doesNotContain(DaemonFixture.KEY);
        assertThat(daemon.callOperatorPort("/-/metrics").text()).doesNotContain(DaemonFixture.KEY);
        assertThat(daemon.callOperatorPort("/-/metrics.json").text()).doesNotContain(DaemonFixture.KEY);
        assertThat(daemon.callOperatorPort("/-/status").text()).doesNotContain(DaemonFixture.KEY);
    }

    // Guards against hop-by-hop headers that are passed on to the next connection.
    @Test
    void hopByHopHeadersAreDroppedInBothDirections() throws Exception {
        daemon.target.respondWith(
                200,
                Map.of(
                        "Connection", List.of("X-Answer-Hop"),
                        "X-Answer-Hop", List.of("1"),
                        "Keep-Alive", List.of("timeout=1"),
                        "Upgrade", List.of("h2c"),
                        "X-Kept", List.of("yes")),
                "x".getBytes(DaemonFixture.UTF_8));
        RawCaller.Response response =
                daemon.call("GET /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY
                        + "\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n"
                        + "Proxy-Connection: a\r\nX-Kept: yes\r\n\r\n");
        assertThat(response.headers).contains("X-Kept: yes");
        assertThat(response.headers.toString()).doesNotContain("X-Answer-Hop");
        assertThat(response.values("Keep-Alive")).isEmpty();
        assertThat(response.values("Upgrade")).isEmpty();
        TargetRequest seen = daemon.target.requests.poll(5, SECONDS);
        assertThat(seen.headers().keySet()).contains("X-Kept");
        assertThat(seen.headers().keySet().stream().map(String::toLowerCase).toList())
                .containsNoneOf("connection", "x-hop", "keep-alive", "te", "proxy-connection", "transfer-encoding");
    }

    // Guards against a body above the limit that is executed, truncated or refused in another form.
    @Test
    void aBodyAboveTheLimitIsRefused() {
        String large = "x".repeat(2_001);
        RawCaller.Response counted =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 2001\r\n") + large);
        assertRefusal(counted, "request-too-large", 413, "not-run");
        RawCaller.Response chunked =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "7d1\r\n"
                        + large + "\r\n0\r\n\r\n");
        assertRefusal(chunked, "request-too-large", 413, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against a chunked body that arrives in parts or with its transfer coding.
    @Test
    void aChunkedBodyArrivesWhole() throws Exception {
        RawCaller.Response response =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Transfer-Encoding: chunked\r\n")
                        + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertThat(response.status).isEqualTo(200);
        assertThat(daemon.target.requests.poll(5, SECONDS).body()).isEqualTo("abcde".getBytes(DaemonFixture.UTF_8));
    }

    // Guards against a response whose status, headers or body change on the way back.
    @ParameterizedTest
    @CsvSource({"200,4", "201,0", "204,0", "304,0", "404,3", "418,2", "500,5", "503,1", "599,1"})
    void aResponseIsPassedBackUnchanged(int status, int size) {
        byte[] body = new byte[size];
        for (int index = 0; index < size; index++) {
            body[index] = (byte) (index * 100);
        }
        daemon.target.respondWith(status, Map.of("Set-Cookie", List.of("a=1", "b=2")), body);
        RawCaller.Response plain = daemon.call(DaemonFixture.request("GET /a HTTP/1.1", ""));
        assertThat(plain.status).isEqualTo(status);
        assertThat(plain.values("Set-Cookie")).containsExactly("a=1", "b=2").inOrder();
        assertThat(plain.values("Content-Type")).isEmpty();
        assertThat(plain.values("Snipewind-Error")).isEmpty();
        assertThat(plain.body).isEqualTo(body);
        daemon.target.respondWith(status, Map.of("Content-Type", List.of("application/x-odd; v=1")), body);
        assertThat(daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "")).values("Content-Type"))
                .containsExactly("application/x-odd; v=1");
    }

    // Guards against a refusal without the information that the caller needs to decide on a retry.
    @Test
    void aRefusalNamesKindExecutionAndRetryTime() {
        daemon.target.refuse(new Refusal(ErrorKind.ANSWER_TOO_LARGE, "too \"large\"", Optional.of(1_001L)));
        RawCaller.Response response = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(response, "answer-too-large", 502, "ran");
        assertThat(response.text()).contains("too \\\"large\\\"");
        assertThat(response.values("Retry-After")).containsExactly("2");
    }

    // Guards against a truncated response that is passed on as complete, or reported as not executed.
    @Test
    void aTruncatedResponseIsRefusedAsUnknown() {
        daemon.target.refuse(Refusal.of(ErrorKind.ANSWER_INCOMPLETE, "cut"));
        RawCaller.Response response = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(response, "answer-incomplete", 502, "unknown");
        assertThat(daemon.target.requests).hasSize(1);
    }

    // Guards against deadlines that overflow, never expire or cause an internal error.
    @ParameterizedTest
    @CsvSource({
        "soon,malformed-request,400",
        "1.5,malformed-request,400",
        "99999999999999999999,malformed-request,400",
        "0,deadline-before-send,504",
        "-5,deadline-before-send,504"
    })
    void aWrongDeadlineIsRefused(String value, String kind, int status) {
        RawCaller.Response response =
                daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "Snipewind-Deadline-Millis: " + value + "\r\n"));
        assertRefusal(response, kind, status, "not-run");
    }

    // Guards against a deadline beyond the longest deadline of the pool.
    @Test
    void aHugeDeadlineIsLimited() throws Exception {
        String huge = "Snipewind-Deadline-Millis: " + Long.MAX_VALUE + "\r\n";
        assertThat(daemon.call(DaemonFixture.request("GET /a HTTP/1.1", huge)).status)
                .isEqualTo(200);
        long remaining = daemon.target.requests.poll(5, SECONDS).remainingMillis();
        assertThat(remaining).isAtMost(30_000);
        assertThat(remaining).isGreaterThan(20_000);
    }

    // Guards against work that continues at a target after the caller has disconnected.
    @Test
    void aClosedConnectionCancelsTheWorkAtTheTarget() throws Exception {
        CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = daemon.target.holdResponse();
        try (RawCaller caller = new RawCaller(daemon.settings.callers())) {
            caller.send(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
            assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
        }
        assertThat(daemon.target.cancelled.poll(5, SECONDS)).isNotNull();
        heldResponse.complete(Either.left(Refusal.of(ErrorKind.TARGET_LOST, "stopped")));
    }

    // Guards against requests and bytes above the limits of the daemon, and counters that are never decremented.
    @Test
    void requestsAndBytesInProgressAreLimited() throws Exception {
        CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = daemon.target.holdResponse();
        List<RawCaller> callers = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            callers.add(sendToTarget("POST /a HTTP/1.1", "Content-Length: 1900\r\n", "x".repeat(1_900)));
        }
        RawCaller.Response bytes =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 300\r\n") + "x".repeat(300));
        assertRefusal(bytes, "daemon-bytes-limit", 503, "not-run");
        for (int index = 2; index < 8; index++) {
            callers.add(sendToTarget("POST /a HTTP/1.1", "Content-Length: 0\r\n", ""));
        }
        RawCaller.Response requests = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(requests, "daemon-requests-limit", 503, "not-run");
        heldResponse.complete(Either.right(new TargetResponse(200, Map.of(), new byte[0])));
        for (RawCaller caller : callers) {
            assertThat(caller.readResponse(false).status).isEqualTo(200);
            caller.close();
        }
        assertThat(daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "")).status)
                .isEqualTo(200);
        assertThat(daemon.callOperatorPort("/-/metrics.json").text()).contains("\"entry.bytes-in-flight\":0");
    }

    // Guards against more open connections than the daemon has memory for, and a crowd of idle ones that keeps others
    // out.
    @Test
    void aConnectionBeyondTheLimitTakesThePlaceOfTheOneIdleForLongest() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try {
            // Several threads accept connections, so the one above the limit is opened after all others were counted.
            DaemonFixture.await(() -> openConnections() == 0);
            for (int index = 0; index < DaemonFixture.LIMITS.connections(); index++) {
                callers.add(new RawCaller(daemon.settings.callers()));
                int opened = callers.size();
                DaemonFixture.await(() -> openConnections() == opened);
            }
            RawCaller.Response response = daemon.call(DaemonFixture.request("GET /a HTTP/1.1", ""));
            assertThat(response.status).isEqualTo(200);
            assertThat(callers.get(0).readResponse(false).status).isEqualTo(0);
            assertThat(daemon.metrics.counterValue("entry.closed.connections")).isEqualTo(1);
            DaemonFixture.await(() -> openConnections() < DaemonFixture.LIMITS.connections());
        } finally {
            callers.forEach(RawCaller::close);
        }
    }

    // Guards against more open connections than the daemon has memory for, and closed connections that still count.
    @Test
    void connectionsAreLimitedWhileRequestsAreServedOnThem() throws Exception {
        int limit = 3;
        RequestLimits limits = new RequestLimits(limit, 8, 4_000, 2_000, 100, 100_000);
        List<RawCaller> callers = new ArrayList<>();
        try (DaemonFixture small = new DaemonFixture(limits)) {
            CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = small.target.holdResponse();
            for (int index = 0; index < limit; index++) {
                callers.add(new RawCaller(small.settings.callers()));
                callers.get(index).send(DaemonFixture.request("GET /a HTTP/1.1", ""));
                assertThat(small.target.requests.poll(5, SECONDS)).isNotNull();
            }
            callers.add(new RawCaller(small.settings.callers()));
            RawCaller.Response response = callers.get(limit).readResponse(false);
            assertRefusal(response, "daemon-connections-limit", 503, "not-run");
            assertThat(small.metrics.counterValue("refusals.daemon-connections-limit"))
                    .isEqualTo(1);
            assertThat(small.callOperatorPort("/-/live").status).isEqualTo(200);
            heldResponse.complete(Either.right(new TargetResponse(200, Map.of(), new byte[0])));
            for (int index = 0; index < limit; index++) {
                assertThat(callers.get(index).readResponse(false).status).isEqualTo(200);
            }
            callers.forEach(RawCaller::close);
            DaemonFixture.await(() -> small.call(DaemonFixture.request("GET /a HTTP/1.1", "")).status == 200);
        }
    }

    // Guards against operator pages on the callers' port, callers' requests on the operator port, and missing pages.
    @Test
    void operatorsHaveTheirOwnListener() {
        assertThat(daemon.callOperatorPort("/-/ready").status).isEqualTo(200);
        assertThat(daemon.callOperatorPort("/-/live").text()).isEqualTo("live\n");
        assertThat(daemon.callOperatorPort("/-/status").text()).contains("\"dataCentre\":\"north\"");
        assertThat(daemon.callOperatorPort("/-/metrics").text()).contains("snipewind_refusals_key_rejected_total ");
        assertThat(daemon.callOperatorPort("/-/metrics.json").text()).contains("\"refusals.key-rejected\":");
        assertRefusal(daemon.callOperatorPort("/a"), "route-unknown", 404, "not-run");
        assertRefusal(daemon.callOperatorPort("/-/nothing"), "route-unknown", 404, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against an internal error whose response contains a stack trace or has another form.
    @Test
    void anUnexpectedFaultIsRefusedInTheUsualForm() {
        daemon.target.respondWith(200, Map.of("X-Odd", List.of("a\r\nb")), new byte[1]);
        RawCaller.Response response = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(response, "internal", 500, "unknown");
        assertThat(response.text()).doesNotContain("Exception");
    }

    private static long openConnections() {
        return (Long)
                daemon.metrics.registry().getGauges().get("entry.connections").getValue();
    }

    static void assertRefusal(RawCaller.Response response, String kind, int status, String execution) {
        assertWithMessage(response.headers + response.text())
                .that(response.status)
                .isEqualTo(status);
        assertWithMessage(response.headers + response.text())
                .that(response.values("Snipewind-Error"))
                .containsExactly(kind);
        assertThat(response.values("Snipewind-Execution")).containsExactly(execution);
        assertThat(response.values("Content-Type")).containsExactly("application/json");
        assertThat(response.text())
                .startsWith("{\"kind\":\"" + kind + "\",\"execution\":\"" + execution + "\",\"detail\":\"");
    }

    private static RawCaller sendToTarget(String line, String headers, String body) throws InterruptedException {
        RawCaller caller = new RawCaller(daemon.settings.callers());
        caller.send(DaemonFixture.request(line, headers) + body);
        assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
        return caller;
    }
}
