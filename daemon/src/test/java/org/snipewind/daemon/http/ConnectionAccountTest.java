package org.snipewind.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.router.metrics.ProcessMetrics;

final class ConnectionAccountTest {

    private static final int MAX_BODY_BYTES = 1_000;
    private static final long LARGE_HEAP_BYTES = 1L << 30;

    private final List<String> passed = new ArrayList<>();

    // Guards against requests sent ahead that are lost, mixed up or never passed on, and against an account that does
    // not return to zero: seeded requests, cut at random places and answered at random times.
    @Test
    void requestsInAnyPiecesArePassedOnWholeAndTheAccountReturnsToZero() {
        for (long seed = 1; seed <= 100; seed++) {
            Random random = new Random(seed);
            passed.clear();
            CallerMemory memory =
                    CallerMemory.of(LARGE_HEAP_BYTES, MAX_BODY_BYTES, new ManualMillisClock(1), new ProcessMetrics());
            EmbeddedChannel channel = open(memory);
            List<String> sent = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            for (int request = 0; request < 40; request++) {
                String body = "b".repeat(random.nextInt(3) * random.nextInt(60));
                sent.add("/" + request + " " + body);
                text.append(request(request, body, random));
            }
            int answered = 0;
            byte[] bytes = text.toString().getBytes(StandardCharsets.US_ASCII);
            for (int from = 0; from < bytes.length; ) {
                int to = Math.min(bytes.length, from + 1 + random.nextInt(300));
                channel.writeInbound(Unpooled.copiedBuffer(bytes, from, to - from));
                from = to;
                assertThat(passed.size() - answered).isAtMost(8);
                while (answered < passed.size() && random.nextBoolean()) {
                    answer(channel);
                    answered++;
                }
            }
            while (answered < passed.size()) {
                answer(channel);
                answered++;
            }
            assertThat(passed).isEqualTo(sent);
            channel.releaseOutbound();
            assertThat(memory.account().heldBytes()).isEqualTo(0);
            channel.finishAndReleaseAll();
        }
    }

    // Guards against an account that keeps what a connection held that ended in the middle of a request.
    @Test
    void aConnectionThatEndsInTheMiddleOfARequestHoldsNothing() {
        CallerMemory memory =
                CallerMemory.of(LARGE_HEAP_BYTES, MAX_BODY_BYTES, new ManualMillisClock(1), new ProcessMetrics());
        EmbeddedChannel channel = open(memory);
        channel.writeInbound(ascii("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3\r\nab"));
        assertThat(memory.account().heldBytes()).isGreaterThan(0);
        channel.finishAndReleaseAll();
        assertThat(memory.account().heldBytes()).isEqualTo(0);
    }

    // Guards against a client that is closed without being told that its request did not run.
    @Test
    void anIncompleteRequestBeyondTheBudgetIsRefusedAsNotRun() {
        CallerMemory memory = CallerMemory.of(8_000, MAX_BODY_BYTES, new ManualMillisClock(1), new ProcessMetrics());
        EmbeddedChannel channel = open(memory);
        channel.writeInbound(ascii("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"));
        ByteBuf refusal = channel.readOutbound();
        String text = refusal.toString(StandardCharsets.US_ASCII);
        refusal.release();
        assertThat(text).startsWith("HTTP/1.1 503 daemon-bytes-limit\r\n");
        assertThat(text).contains("Snipewind-Execution: not-run\r\n");
        assertThat(channel.isOpen()).isFalse();
        channel.finishAndReleaseAll();
        assertThat(memory.account().heldBytes()).isEqualTo(0);
    }

    // Guards against responses that get lost because the client has sent too much behind their requests.
    @Test
    void requestsInProgressAreAnsweredBeforeTheConnectionIsClosed() {
        CallerMemory memory = CallerMemory.of(64_000, 100_000, new ManualMillisClock(1), new ProcessMetrics());
        EmbeddedChannel channel = open(memory);
        channel.writeInbound(ascii("GET /first HTTP/1.1\r\n\r\n"));
        channel.writeInbound(ascii("POST /second HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + "b".repeat(20_000)));
        channel.writeInbound(ascii("b".repeat(30_000) + "GET /third HTTP/1.1\r\n\r\n"));
        assertThat(channel.isOpen()).isTrue();
        answer(channel);
        ByteBuf response = channel.readOutbound();
        assertThat(response.toString(StandardCharsets.US_ASCII)).contains("connection: close\r\n");
        response.release();
        assertThat(channel.isOpen()).isFalse();
        assertThat(passed).containsExactly("/first ");
        channel.finishAndReleaseAll();
        assertThat(memory.account().heldBytes()).isEqualTo(0);
    }

    private EmbeddedChannel open(CallerMemory memory) {
        EmbeddedChannel channel = new EmbeddedChannel();
        ConnectionAccount account = new ConnectionAccount(memory, channel);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(new HttpDecoderConfig()
                                .setHeadersFactory(account.headersFactory())
                                .setTrailersFactory(account.headersFactory())),
                        account,
                        new Recorder());
        return channel;
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static String request(int number, String body, Random random) {
        String head = "POST /" + number + " HTTP/1.1\r\n";
        if (random.nextBoolean()) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        StringBuilder chunks = new StringBuilder();
        for (int from = 0; from < body.length(); ) {
            int to = Math.min(body.length(), from + 1 + random.nextInt(4));
            chunks.append(to - from).append("\r\n").append(body, from, to).append("\r\n");
            from = to;
        }
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
    }

    private static void answer(EmbeddedChannel channel) {
        channel.writeOutbound(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER));
        channel.runPendingTasks();
    }

    /** Records each request with its body when it is complete. */
    private final class Recorder extends ChannelInboundHandlerAdapter {

        private String current = "";

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest request) {
                current = request.uri() + " ";
            }
            if (message instanceof HttpContent content) {
                current += content.content().toString(StandardCharsets.US_ASCII);
            }
            if (message instanceof LastHttpContent) {
                passed.add(current);
            }
            ReferenceCountUtil.release(message);
        }
    }
}
