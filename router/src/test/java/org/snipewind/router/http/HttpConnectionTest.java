package org.snipewind.router.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Guards against truncated, duplicate, late or malformed responses that reach a caller as if they were valid. */
final class HttpConnectionTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";

    /** Kilobytes of an endless response after which the connection must be closed; the limit for heads is 8 KB here. */
    private static final int MAX_ENDLESS_KILOBYTES = 40;

    private final List<BufferedResponse> responses = new ArrayList<>();
    private final List<ExchangeException> failures = new ArrayList<>();
    private final List<UnsolicitedBytes> unsolicited = new ArrayList<>();
    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig());
    private final BufferMemory memory = new BufferMemory(1_000_000);
    private final HttpConnection connection = new HttpConnection(decoder, options(1_000, memory));
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
    private final ExchangeListener listener = new ExchangeListener() {
        @Override
        public void responseReceived(BufferedResponse response) {
            responses.add(response);
        }

        @Override
        public void exchangeFailed(ExchangeException cause) {
            failures.add(cause);
        }
    };

    @Test
    void aCompleteResponseIsAcceptedAndTheConnectionIsReusable() {
        send("1");
        receive(OK);
        assertThat(firstResponseBody()).isEqualTo("ok");
        assertThat(connection.isReusable()).isTrue();
    }

    @Test
    void aTruncatedResponseIsAFailureOfARequestThatMayHaveRun() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\nhalf");
        channel.close();
        assertThat(responses).isEmpty();
        assertThat(failures.get(0).isPossiblySent()).isTrue();
    }

    @Test
    void aResponseWithoutLengthEndsWithTheConnection() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
        channel.close();
        assertThat(firstResponseBody()).isEqualTo("all of it");
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void aResponseWithoutLengthIsIncompleteIfTheConnectionIsReset() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.close();
        assertThat(responses).isEmpty();
        assertThat(failures).hasSize(1);
    }

    @Test
    void aResponseToAnEarlierRequestIsSkipped() {
        send("2");
        receive(OK);
        assertThat(responses).isEmpty();
        receive(OK.replace("Id: 1", "Id: 2"));
        assertThat(responses).hasSize(1);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void anAdditionalResponseClosesTheConnection() {
        send("1");
        receive(OK + OK);
        assertThat(responses).hasSize(1);
        assertThat(connection.isReusable()).isFalse();
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against connections that are closed for a reason that no log line or counter tells. */
    @Test
    void bytesThatBelongToNoRequestAreReported() {
        send("1");
        clock.advance(5);
        receive(OK + OK);
        assertThat(unsolicited)
                .containsExactly(new UnsolicitedBytes(UnsolicitedKind.BEHIND_RESPONSE, 0, 1, OK.length(), 5));
    }

    @Test
    void bytesOnAnIdleConnectionAreReportedBeforeTheyAreDecoded() {
        send("1");
        receive(OK);
        clock.advance(7);
        receive("HTTP/1.1 5");
        assertThat(unsolicited).containsExactly(new UnsolicitedBytes(UnsolicitedKind.BROKEN_OFF_RESPONSE, 0, 1, 10, 7));
    }

    @Test
    void aResponseToAnotherRequestIsReported() {
        send("2");
        receive(OK);
        assertThat(unsolicited).containsExactly(new UnsolicitedBytes(UnsolicitedKind.OTHER_RESPONSE, 0, 1, 0, 0));
    }

    @Test
    void bytesThatAreNotHttpAreAFailure() {
        send("1");
        receive("\u0001\u0002 nonsense\r\n\r\n");
        assertThat(responses).isEmpty();
        assertThat(failures).hasSize(1);
    }

    /** Guards against a faulty target that sends bytes without ever completing its response. */
    @Test
    void anEndlessResponseEndsTheRequestAndTheConnection() {
        for (String start : List.of(
                "",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nId: 1\r\nEndless: ",
                "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;")) {
            List<ExchangeException> endlessFailures = new ArrayList<>();
            ResponseDecoder endlessDecoder = new ResponseDecoder(new HttpDecoderConfig());
            HttpConnection endlessConnection = new HttpConnection(endlessDecoder, options(1_000, memory));
            EmbeddedChannel endlessChannel =
                    new EmbeddedChannel(endlessDecoder, new HttpRequestEncoder(), endlessConnection);
            endlessConnection.exchange(request(), ResponseMatcher.ANY, new ExchangeListener() {
                @Override
                public void responseReceived(BufferedResponse response) {
                    responses.add(response);
                }

                @Override
                public void exchangeFailed(ExchangeException cause) {
                    endlessFailures.add(cause);
                }
            });
            endlessChannel.releaseOutbound();
            endlessChannel.writeInbound(Unpooled.copiedBuffer(start, StandardCharsets.US_ASCII));
            for (int kilobyte = 0; kilobyte < MAX_ENDLESS_KILOBYTES && endlessChannel.isActive(); kilobyte++) {
                endlessChannel.writeInbound(Unpooled.copiedBuffer("x".repeat(1_000), StandardCharsets.US_ASCII));
            }
            assertWithMessage("after <%s>", start)
                    .that(endlessChannel.isActive())
                    .isFalse();
            assertThat(endlessFailures).hasSize(1);
            assertThat(responses).isEmpty();
        }
    }

    @Test
    void endlessEmptyLinesEndTheRequestAndTheConnection() {
        send("1");
        for (int kilobyte = 0; kilobyte < MAX_ENDLESS_KILOBYTES && channel.isActive(); kilobyte++) {
            receive("\r\n".repeat(500));
        }
        assertThat(channel.isActive()).isFalse();
        assertThat(failures).hasSize(1);
    }

    @Test
    void aResponseThatExceedsTheSizeLimitIsAFailure() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000));
        assertThat(responses).isEmpty();
        assertThat(failures).hasSize(1);
    }

    @Test
    void aConnectionThatTheServerClosesIsNotReusable() {
        send("1");
        receive(OK.replace("Content-Length", "Connection: close\r\nContent-Length"));
        assertThat(responses).hasSize(1);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void theAnnouncedIdleTimeoutIsApplied() {
        send("1");
        receive(OK.replace("Content-Length", "Keep-Alive: timeout=7\r\nContent-Length"));
        assertThat(connection.serverIdleTimeoutMillis()).isEqualTo(7_000);
    }

    /** Guards against targets that fill the heap of an instance while slow callers still take earlier responses. */
    @Test
    void readingPausesWhileThereIsNoMemoryForTheResponse() {
        BufferMemory scarce = new BufferMemory(150_000);
        HttpConnection waiting = new HttpConnection(decoder, options(1_000_000, scarce));
        channel.pipeline().replace(connection, "waiting", waiting);
        BufferMemory.Reservation other = scarce.open();
        other.extend(100_000, () -> {});
        waiting.exchange(request(), ResponseMatcher.ANY, listener);
        channel.releaseOutbound();
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(1_000));
        assertThat(channel.config().isAutoRead()).isFalse();
        other.release();
        channel.runPendingTasks();
        assertThat(channel.config().isAutoRead()).isTrue();
        receive("x".repeat(99_000));
        assertThat(firstResponseBody()).hasLength(100_000);
        assertThat(scarce.reservedBytes()).isEqualTo(100_000);
        responses.get(0).memory().release();
        assertThat(scarce.reservedBytes()).isEqualTo(0);
    }

    @Test
    void aResponseThatBreaksOffReleasesItsMemory() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 900\r\n\r\nhalf");
        assertThat(memory.reservedBytes()).isEqualTo(900);
        channel.close();
        assertThat(memory.reservedBytes()).isEqualTo(0);
        assertThat(failures).hasSize(1);
    }

    private ConnectionOptions options(int maxResponseBytes, BufferMemory responseMemory) {
        return new ConnectionOptions(maxResponseBytes, responseMemory, clock, unsolicited::add, () -> {});
    }

    private void send(String id) {
        connection.exchange(request(), TestMatchers.named(id), listener);
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER);
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    private String firstResponseBody() {
        return new String(responses.get(0).body(), StandardCharsets.UTF_8);
    }
}
