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

/** Guards against answers that are cut, doubled, late or not HTTP and reach a caller as if they were whole. */
final class HttpConnectionTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";

    /** Kilobytes after which bytes without an end must have ended the connection; heads may have 8 KB here. */
    private static final int ENDLESS_PARTS = 40;

    private final List<BufferedResponse> answers = new ArrayList<>();
    private final List<ExchangeException> failures = new ArrayList<>();
    private final ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig());
    private final HttpConnection connection = new HttpConnection(decoder, 1_000, () -> {});
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
    private final ExchangeListener listener = new ExchangeListener() {
        @Override
        public void responseReceived(BufferedResponse answer) {
            answers.add(answer);
        }

        @Override
        public void exchangeFailed(ExchangeException cause) {
            failures.add(cause);
        }
    };

    @Test
    void aWholeAnswerIsTakenAndTheConnectionIsKept() {
        send("1");
        receive(OK);
        assertThat(text()).isEqualTo("ok");
        assertThat(connection.isReusable()).isTrue();
    }

    @Test
    void anAnswerThatIsCutIsAFailureThatMayHaveRun() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\nhalf");
        channel.close();
        assertThat(answers).isEmpty();
        assertThat(failures.get(0).isPossiblySent()).isTrue();
    }

    @Test
    void anAnswerWithoutLengthEndsWithTheConnection() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
        channel.close();
        assertThat(text()).isEqualTo("all of it");
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void anAnswerWithoutLengthThatIsResetIsNotWhole() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.close();
        assertThat(answers).isEmpty();
        assertThat(failures).hasSize(1);
    }

    @Test
    void anAnswerToAnEarlierRequestIsSkipped() {
        send("2");
        receive(OK);
        assertThat(answers).isEmpty();
        receive(OK.replace("Id: 1", "Id: 2"));
        assertThat(answers).hasSize(1);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void anExtraAnswerClosesTheConnection() {
        send("1");
        receive(OK + OK);
        assertThat(answers).hasSize(1);
        assertThat(connection.isReusable()).isFalse();
        assertThat(channel.isActive()).isFalse();
    }

    @Test
    void bytesThatAreNoAnswerAreAFailure() {
        send("1");
        receive("\u0001\u0002 nonsense\r\n\r\n");
        assertThat(answers).isEmpty();
        assertThat(failures).hasSize(1);
    }

    /** Pattern: a target in trouble sends bytes that are no answer until the caller closes. */
    @Test
    void bytesWithoutEndEndTheRequestAndTheConnection() {
        for (String start : List.of(
                "",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nId: 1\r\nEndless: ",
                "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;")) {
            List<ExchangeException> ended = new ArrayList<>();
            ResponseDecoder endlessDecoder = new ResponseDecoder(new HttpDecoderConfig());
            HttpConnection endless = new HttpConnection(endlessDecoder, 1_000, () -> {});
            EmbeddedChannel wire = new EmbeddedChannel(endlessDecoder, new HttpRequestEncoder(), endless);
            endless.exchange(request(), (status, headers) -> true, new ExchangeListener() {
                @Override
                public void responseReceived(BufferedResponse answer) {
                    answers.add(answer);
                }

                @Override
                public void exchangeFailed(ExchangeException cause) {
                    ended.add(cause);
                }
            });
            wire.releaseOutbound();
            wire.writeInbound(Unpooled.copiedBuffer(start, StandardCharsets.US_ASCII));
            for (int part = 0; part < ENDLESS_PARTS && wire.isActive(); part++) {
                wire.writeInbound(Unpooled.copiedBuffer("x".repeat(1_000), StandardCharsets.US_ASCII));
            }
            assertWithMessage("after <%s>", start).that(wire.isActive()).isFalse();
            assertThat(ended).hasSize(1);
            assertThat(answers).isEmpty();
        }
    }

    @Test
    void emptyLinesWithoutEndEndTheRequestAndTheConnection() {
        send("1");
        for (int part = 0; part < ENDLESS_PARTS && channel.isActive(); part++) {
            receive("\r\n".repeat(500));
        }
        assertThat(channel.isActive()).isFalse();
        assertThat(failures).hasSize(1);
    }

    @Test
    void anAnswerThatExceedsTheLimitIsAFailure() {
        send("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000));
        assertThat(answers).isEmpty();
        assertThat(failures).hasSize(1);
    }

    @Test
    void aConnectionThatTheOtherSideEndsIsNotUsedAgain() {
        send("1");
        receive(OK.replace("Content-Length", "Connection: close\r\nContent-Length"));
        assertThat(answers).hasSize(1);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void theStatedIdleTimeIsKept() {
        send("1");
        receive(OK.replace("Content-Length", "Keep-Alive: timeout=7\r\nContent-Length"));
        assertThat(connection.idleMillis()).isEqualTo(7_000);
    }

    private void send(String id) {
        connection.exchange(request(), (status, headers) -> id.equals(headers.get("Id")), listener);
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER);
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String text() {
        return new String(answers.get(0).body(), StandardCharsets.UTF_8);
    }
}
