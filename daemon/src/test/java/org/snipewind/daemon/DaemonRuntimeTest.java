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
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

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
        daemon.target.answer(200, Map.of("Content-Type", List.of("text/plain")), "done".getBytes(DaemonFixture.UTF_8));
    }

    // Guards against a method, query, header or body that is changed on its way.
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS"})
    void aRequestReachesTheTargetUnchanged(String method) throws Exception {
        String body = method.startsWith("P") || method.equals("DELETE") ? "\0\u00ff body" : "";
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        RawCaller.Answer answer = daemon.call(
                DaemonFixture.request(method + " /a/b?x=1&x=2&y=%2F+z HTTP/1.1", length + "X-Two: a\r\nX-Two: b, c\r\n")
                        + body);
        assertThat(answer.status).isEqualTo(200);
        TargetRequest seen = daemon.target.requests.poll(5, SECONDS);
        assertThat(seen.method()).isEqualTo(method);
        assertThat(seen.uri()).isEqualTo("/a/b?x=1&x=2&y=%2F+z");
        assertThat(seen.headers().get("X-Two")).containsExactly("a", "b, c").inOrder();
        assertThat(seen.body()).isEqualTo(body.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        assertThat(seen.organisation()).isEqualTo("acme");
    }

    // Guards against paths that are normalized or decoded, so that the target would see another one.
    @ParameterizedTest
    @ValueSource(strings = {"/a/../b", "/a%2Fb", "/a/%2e%2e/b", "/a//b", "/a;b=c", "/-", "/a?q=/-/x", "/a%7Cb"})
    void aPathIsPassedOnUnchanged(String path) throws Exception {
        RawCaller.Answer answer = daemon.call(DaemonFixture.request("GET " + path + " HTTP/1.1", ""));
        assertWithMessage(answer.headers + answer.text()).that(answer.status).isEqualTo(200);
        assertThat(daemon.target.requests.poll(5, SECONDS).uri()).isEqualTo(path);
    }

    // Guards against stack traces, HTML pages or wrong routes for what is not valid HTTP.
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
        RawCaller.Answer answer = daemon.call(DaemonFixture.request(line, "Accept: text/html\r\n"));
        assertRefusal(answer, kind, status, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against two readings of where a request ends (request smuggling).
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
        RawCaller.Answer answer =
                daemon.call("POST /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY + "\r\n" + headers
                        + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY
                        + "\r\n\r\n");
        assertRefusal(answer, "malformed-request", 400, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against the organisation's key at a target, in the log or in the metrics.
    @ParameterizedTest
    @ValueSource(strings = {"Snipewind-Key: ", "Authorization: Bearer ", "authorization: bearer "})
    void theKeyStopsAtTheDaemon(String header) throws Exception {
        Logger root = (Logger) LoggerFactory.getLogger("ROOT");
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        root.addAppender(lines);
        RawCaller.Answer answer = daemon.call("GET /a HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n" + header
                + DaemonFixture.KEY + "\r\nX-Kept: yes\r\n\r\n");
        assertThat(answer.status).isEqualTo(200);
        daemon.call(
                "GET /% HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n" + header + DaemonFixture.KEY + "\r\n\r\n");
        root.detachAppender(lines);
        TargetRequest seen = daemon.target.requests.poll(5, SECONDS);
        assertThat(seen.headers().keySet()).contains("X-Kept");
        assertThat(seen.headers().toString()).doesNotContain(DaemonFixture.KEY);
        assertThat(List.copyOf(lines.list).toString()).doesNotContain(DaemonFixture.KEY);
        assertThat(daemon.operate("/-/metrics").text()).doesNotContain(DaemonFixture.KEY);
        assertThat(daemon.operate("/-/metrics.json").text()).doesNotContain(DaemonFixture.KEY);
        assertThat(daemon.operate("/-/status").text()).doesNotContain(DaemonFixture.KEY);
    }

    // Guards against headers of one connection that take effect on the next one.
    @Test
    void headersOfOneConnectionAreDroppedBothWays() throws Exception {
        daemon.target.answer(
                200,
                Map.of(
                        "Connection", List.of("X-Answer-Hop"),
                        "X-Answer-Hop", List.of("1"),
                        "Keep-Alive", List.of("timeout=1"),
                        "Upgrade", List.of("h2c"),
                        "X-Kept", List.of("yes")),
                "x".getBytes(DaemonFixture.UTF_8));
        RawCaller.Answer answer = daemon.call("GET /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY
                + "\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\nProxy-Connection: a\r\n"
                + "X-Kept: yes\r\n\r\n");
        assertThat(answer.headers).contains("X-Kept: yes");
        assertThat(answer.headers.toString()).doesNotContain("X-Answer-Hop");
        assertThat(answer.values("Keep-Alive")).isEmpty();
        assertThat(answer.values("Upgrade")).isEmpty();
        TargetRequest seen = daemon.target.requests.poll(5, SECONDS);
        assertThat(seen.headers().keySet()).contains("X-Kept");
        assertThat(seen.headers().keySet().stream().map(String::toLowerCase).toList())
                .containsNoneOf("connection", "x-hop", "keep-alive", "te", "proxy-connection", "transfer-encoding");
    }

    // Guards against a body above the limit that is run, cut or refused in another form.
    @Test
    void aBodyAboveTheLimitIsRefused() {
        String large = "x".repeat(2_001);
        RawCaller.Answer counted =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 2001\r\n") + large);
        assertRefusal(counted, "request-too-large", 413, "not-run");
        RawCaller.Answer chunked =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "7d1\r\n"
                        + large + "\r\n0\r\n\r\n");
        assertRefusal(chunked, "request-too-large", 413, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against a chunked body that arrives as pieces or with its transfer coding.
    @Test
    void aChunkedBodyArrivesWhole() throws Exception {
        RawCaller.Answer answer =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Transfer-Encoding: chunked\r\n")
                        + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertThat(answer.status).isEqualTo(200);
        assertThat(daemon.target.requests.poll(5, SECONDS).body()).isEqualTo("abcde".getBytes(DaemonFixture.UTF_8));
    }

    // Guards against an answer whose status, headers or bytes change on their way back.
    @ParameterizedTest
    @CsvSource({"200,4", "201,0", "204,0", "304,0", "404,3", "418,2", "500,5", "503,1", "599,1"})
    void anAnswerComesBackUnchanged(int status, int size) {
        byte[] body = new byte[size];
        for (int index = 0; index < size; index++) {
            body[index] = (byte) (index * 100);
        }
        daemon.target.answer(status, Map.of("Set-Cookie", List.of("a=1", "b=2")), body);
        RawCaller.Answer plain = daemon.call(DaemonFixture.request("GET /a HTTP/1.1", ""));
        assertThat(plain.status).isEqualTo(status);
        assertThat(plain.values("Set-Cookie")).containsExactly("a=1", "b=2").inOrder();
        assertThat(plain.values("Content-Type")).isEmpty();
        assertThat(plain.values("Snipewind-Error")).isEmpty();
        assertThat(plain.body).isEqualTo(body);
        daemon.target.answer(status, Map.of("Content-Type", List.of("application/x-odd; v=1")), body);
        assertThat(daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "")).values("Content-Type"))
                .containsExactly("application/x-odd; v=1");
    }

    // Guards against a refusal that lacks what the caller needs to decide on a retry.
    @Test
    void aRefusalNamesKindExecutionAndRetryTime() {
        daemon.target.refuse(new Refusal(ErrorKind.ANSWER_TOO_LARGE, "too \"large\"", Optional.of(1_001L)));
        RawCaller.Answer answer = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(answer, "answer-too-large", 502, "ran");
        assertThat(answer.text()).contains("too \\\"large\\\"");
        assertThat(answer.values("Retry-After")).containsExactly("2");
    }

    // Guards against a cut answer that is taken for a whole one, or for work that was not done.
    @Test
    void anAnswerCutShortIsRefusedAsUnknown() {
        daemon.target.refuse(Refusal.of(ErrorKind.ANSWER_INCOMPLETE, "cut"));
        RawCaller.Answer answer = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(answer, "answer-incomplete", 502, "unknown");
        assertThat(daemon.target.requests).hasSize(1);
    }

    // Guards against deadlines that overflow, wait for ever or end in a fault.
    @ParameterizedTest
    @CsvSource({
        "soon,malformed-request,400",
        "1.5,malformed-request,400",
        "99999999999999999999,malformed-request,400",
        "0,deadline-before-send,504",
        "-5,deadline-before-send,504"
    })
    void aWrongDeadlineIsRefused(String value, String kind, int status) {
        RawCaller.Answer answer =
                daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "Snipewind-Deadline-Millis: " + value + "\r\n"));
        assertRefusal(answer, kind, status, "not-run");
    }

    // Guards against a deadline beyond the longest one.
    @Test
    void aHugeDeadlineIsLimited() throws Exception {
        String huge = "Snipewind-Deadline-Millis: " + Long.MAX_VALUE + "\r\n";
        assertThat(daemon.call(DaemonFixture.request("GET /a HTTP/1.1", huge)).status)
                .isEqualTo(200);
        long remaining = daemon.target.requests.poll(5, SECONDS).remainingMillis();
        assertThat(remaining).isAtMost(30_000);
        assertThat(remaining).isGreaterThan(20_000);
    }

    // Guards against work that goes on at a target for a caller that went away.
    @Test
    void aClosedConnectionCancelsTheWorkAtTheTarget() throws Exception {
        CompletableFuture<Either<Refusal, TargetAnswer>> held = daemon.target.hold();
        try (RawCaller caller = new RawCaller(daemon.settings.callers())) {
            caller.send(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
            assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
        }
        assertThat(daemon.target.cancelled.poll(5, SECONDS)).isNotNull();
        held.complete(Either.left(Refusal.of(ErrorKind.TARGET_LOST, "stopped")));
    }

    // Guards against requests and bytes above the limits of the daemon, and counters that never come down again.
    @Test
    void requestsAndBytesInProgressAreLimited() throws Exception {
        CompletableFuture<Either<Refusal, TargetAnswer>> held = daemon.target.hold();
        List<RawCaller> callers = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            callers.add(begin("POST /a HTTP/1.1", "Content-Length: 1900\r\n", "x".repeat(1_900)));
        }
        RawCaller.Answer bytes =
                daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 300\r\n") + "x".repeat(300));
        assertRefusal(bytes, "daemon-bytes-limit", 503, "not-run");
        for (int index = 2; index < 8; index++) {
            callers.add(begin("POST /a HTTP/1.1", "Content-Length: 0\r\n", ""));
        }
        RawCaller.Answer requests = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(requests, "daemon-requests-limit", 503, "not-run");
        held.complete(Either.right(new TargetAnswer(200, Map.of(), new byte[0])));
        for (RawCaller caller : callers) {
            assertThat(caller.read(false).status).isEqualTo(200);
            caller.close();
        }
        assertThat(daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "")).status)
                .isEqualTo(200);
        assertThat(daemon.operate("/-/metrics.json").text()).contains("\"entry.bytes-in-flight\":0");
    }

    // Guards against more open connections than the daemon has memory for, and against connections never given back.
    @Test
    void connectionsAreLimited() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try {
            // Connections are accepted by several threads, so the surplus one is opened after all others are counted.
            DaemonFixture.await(() -> openConnections() == 0);
            for (int index = 0; index < DaemonFixture.LIMITS.connections(); index++) {
                callers.add(new RawCaller(daemon.settings.callers()));
            }
            DaemonFixture.await(() -> openConnections() == DaemonFixture.LIMITS.connections());
            callers.add(new RawCaller(daemon.settings.callers()));
            RawCaller.Answer answer =
                    callers.get(DaemonFixture.LIMITS.connections()).read(false);
            assertRefusal(answer, "daemon-connections-limit", 503, "not-run");
            assertThat(daemon.metrics.counterValue("refusals.daemon-connections-limit"))
                    .isEqualTo(1);
            assertThat(daemon.operate("/-/live").status).isEqualTo(200);
        } finally {
            callers.forEach(RawCaller::close);
        }
        DaemonFixture.await(() -> daemon.call(DaemonFixture.request("GET /a HTTP/1.1", "")).status == 200);
    }

    // Guards against operators' pages for callers, callers' work on the operators' port, and missing pages.
    @Test
    void operatorsHaveTheirOwnListener() {
        assertThat(daemon.operate("/-/ready").status).isEqualTo(200);
        assertThat(daemon.operate("/-/live").text()).isEqualTo("live\n");
        assertThat(daemon.operate("/-/status").text()).contains("\"dataCentre\":\"north\"");
        assertThat(daemon.operate("/-/metrics").text()).contains("snipewind_refusals_key_rejected_total ");
        assertThat(daemon.operate("/-/metrics.json").text()).contains("\"refusals.key-rejected\":");
        assertRefusal(daemon.operate("/a"), "route-unknown", 404, "not-run");
        assertRefusal(daemon.operate("/-/nothing"), "route-unknown", 404, "not-run");
        assertThat(daemon.target.requests).isEmpty();
    }

    // Guards against an unexpected fault that shows its stack trace or takes another form.
    @Test
    void anUnexpectedFaultIsRefusedInTheUsualForm() {
        daemon.target.answer(200, Map.of("X-Odd", List.of("a\r\nb")), new byte[1]);
        RawCaller.Answer answer = daemon.call(DaemonFixture.request("POST /a HTTP/1.1", "Content-Length: 0\r\n"));
        assertRefusal(answer, "internal", 500, "unknown");
        assertThat(answer.text()).doesNotContain("Exception");
    }

    private static long openConnections() {
        return (Long)
                daemon.metrics.registry().getGauges().get("entry.connections").getValue();
    }

    static void assertRefusal(RawCaller.Answer answer, String kind, int status, String execution) {
        assertWithMessage(answer.headers + answer.text()).that(answer.status).isEqualTo(status);
        assertWithMessage(answer.headers + answer.text())
                .that(answer.values("Snipewind-Error"))
                .containsExactly(kind);
        assertThat(answer.values("Snipewind-Execution")).containsExactly(execution);
        assertThat(answer.values("Content-Type")).containsExactly("application/json");
        assertThat(answer.text())
                .startsWith("{\"kind\":\"" + kind + "\",\"execution\":\"" + execution + "\",\"detail\":\"");
    }

    private static RawCaller begin(String line, String headers, String body) throws InterruptedException {
        RawCaller caller = new RawCaller(daemon.settings.callers());
        caller.send(DaemonFixture.request(line, headers) + body);
        assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
        return caller;
    }
}
