package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against callers that occupy the event loop, or memory, with what is small in bytes. */
final class CallerWorkTest {

    private static final String REQUEST = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final int MAX_TURNS = 1_000;

    private final RoutingFixture fixture = new RoutingFixture();
    private final CallerServer server = new CallerServer(fixture.loops, fixture.loops, fixture.context);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final CallerChannel caller = new CallerChannel(new Worker(channel.eventLoop(), fixture.context), server);

    CallerWorkTest() {
        channel.freezeTime();
        channel.pipeline().addLast(caller.decoder(), caller);
    }

    @AfterEach
    void stop() throws Exception {
        channel.close();
        fixture.stop();
    }

    /** Bodies in one-byte chunks left ordinary callers without any response. */
    @Test
    void aBodyInOneByteChunksIsDecodedInManyTurns() {
        int chunks = 3 * CallerRequestDecoder.MAX_STEPS_PER_TURN;
        write("POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        write("1\r\na\r\n".repeat(chunks) + "0\r\n\r\n");
        int turns = 0;
        while (caller.decoder().hasBacklog() && turns < MAX_TURNS) {
            assertWithMessage("reading pauses")
                    .that(channel.config().isAutoRead())
                    .isFalse();
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            turns++;
        }
        channel.runPendingTasks();
        assertThat(turns).isAtLeast(3);
        assertThat(channel.config().isAutoRead()).isTrue();
        assertThat(responses()).isEqualTo(1);
    }

    /** Requests sent ahead were all decoded, and clients that read nothing brought down a process. */
    @Test
    void requestsSentAheadStayUndecodedWhileTheCallerReadsNothing() {
        channel.pipeline().addFirst(new UnreadResponses());
        write(REQUEST.repeat(200));
        long undecoded = caller.decoder().undecodedBytes();
        assertThat(undecoded).isAtLeast(190 * REQUEST.length());
        assertThat(channel.config().isAutoRead()).isFalse();
        assertThat(responses()).isEqualTo(0);
        assertThat(fixture.context.clients().memory().heldBytes()).isAtLeast(undecoded);
    }

    @Test
    void requestsSentAheadAreAllAnsweredInTheEnd() {
        write(REQUEST.repeat(200));
        int answered = responses();
        for (int turn = 0; turn < MAX_TURNS && answered < 200; turn++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            answered += responses();
        }
        assertThat(answered).isEqualTo(200);
        assertThat(caller.decoder().undecodedBytes()).isEqualTo(0);
    }

    /**
     * While the event loop was overloaded, it refused requests that were sent ahead as fast as their callers sent them,
     * and so stayed overloaded and refused ordinary callers too.
     */
    @Test
    void requestsSentAheadGetTheirTurnsLaterWhileTheLoopIsOverloaded() {
        // The tick of the worker is overdue until the time of the loop has advanced by its interval.
        RoutingFixture.pause(300);
        write(REQUEST.repeat(200));
        int answered = responses();
        for (int turn = 0; turn < 60; turn++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            answered += responses();
        }
        assertThat(answered).isAtMost(8 * 7);
        for (int turn = 0; turn < MAX_TURNS && answered < 200; turn++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            answered += responses();
        }
        assertThat(answered).isEqualTo(200);
    }

    /** RFC 9112, section 2.2, asks servers to ignore an empty line before a request; it names no number. */
    @Test
    void someEmptyLinesBetweenRequestsAreIgnoredAndLinesWithoutEndCloseTheConnection() {
        for (int request = 1; request <= 5; request++) {
            write("\r\n".repeat(CallerRequestDecoder.MAX_EMPTY_LINE_BYTES / 4) + REQUEST);
            assertThat(responses()).isEqualTo(1);
        }
        write("\r\n".repeat(CallerRequestDecoder.MAX_EMPTY_LINE_BYTES));
        assertThat(channel.isOpen()).isFalse();
        assertThat(fixture.context.metrics().counterValue("clients.closed.empty-lines"))
                .isEqualTo(1);
    }

    /** The trailers of refused requests were held until the connections were closed, and ended a process. */
    @Test
    void aRefusedRequestHoldsNothingWhileItsRestIsDropped() {
        String tinyFields = "a:\r\n".repeat(7_000);
        write("POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + tinyFields);
        channel.runPendingTasks();
        assertThat(fixture.context.metrics().counterValue("clients.closed.memory"))
                .isEqualTo(1);
        assertThat(responses()).isEqualTo(1);
        assertThat(caller.heldBytes()).isLessThan(2_000);
        assertThat(caller.decoder().heldBytes()).isEqualTo(0);
    }

    /** Never completes a write, like a connection whose other side doesn't read. */
    private static final class UnreadResponses extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
        }
    }

    private void write(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private int responses() {
        int count = 0;
        for (Object message = channel.readOutbound(); message != null; message = channel.readOutbound()) {
            ReferenceCountUtil.release(message);
            count++;
        }
        return count;
    }
}
