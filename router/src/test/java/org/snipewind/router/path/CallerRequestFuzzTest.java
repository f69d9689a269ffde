package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against memory of a caller's connection that the account does not know of, or that it never gives back:
 * requests of random forms, sizes and endings arrive in random cuts.
 */
final class CallerRequestFuzzTest {

    private static final int SEEDS = 150;
    private static final int MAX_REQUESTS = 12;
    private static final int MAX_CUT_BYTES = 20_000;

    private final RoutingFixture fixture = new RoutingFixture();
    private final CallerServer server = new CallerServer(fixture.loops, fixture.loops, fixture.context);
    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    private int requestsDecoded;

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    @Test
    void theAccountEqualsWhatIsHeldAndReturnsToZero() {
        for (int seed = 0; seed < SEEDS; seed++) {
            run(seed);
        }
        assertWithMessage("requests were refused or served")
                .that(requestsDecoded)
                .isAtLeast(SEEDS);
    }

    private void run(int seed) {
        Random random = new Random(seed);
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.config().setAllocator(allocator);
        long bodiesBefore = UnpooledByteBufAllocator.DEFAULT.metric().usedHeapMemory();
        Worker worker = new Worker(channel.eventLoop(), fixture.context);
        CallerChannel caller = new CallerChannel(worker, server);
        channel.pipeline().addLast(caller.decoder(), caller);
        byte[] stream = stream(random);
        int position = 0;
        while (position < stream.length && channel.isActive()) {
            int length = Math.min(stream.length - position, 1 + random.nextInt(1 + random.nextInt(MAX_CUT_BYTES)));
            ByteBuf bytes = allocator.heapBuffer(length + random.nextInt(5_000));
            bytes.writeBytes(stream, position, length);
            position += length;
            channel.writeInbound(bytes);
            check(caller, "seed " + seed + " after " + position + " bytes");
            if (random.nextInt(3) > 0) {
                runTasks(channel);
                check(caller, "seed " + seed + " after the tasks at " + position + " bytes");
            }
        }
        channel.close();
        channel.runPendingTasks();
        releaseOutbound(channel);
        assertWithMessage("seed %s: account", seed)
                .that(fixture.context.clients().memory().heldBytes())
                .isEqualTo(0);
        assertWithMessage("seed %s: bodies", seed)
                .that(fixture.context.requestMemory().reservedBytes())
                .isEqualTo(0);
        assertWithMessage("seed %s: received bytes", seed)
                .that(allocator.metric().usedHeapMemory())
                .isEqualTo(0);
        assertWithMessage("seed %s: buffers of bodies", seed)
                .that(UnpooledByteBufAllocator.DEFAULT.metric().usedHeapMemory() - bodiesBefore)
                .isAtMost(0);
    }

    private void check(CallerChannel caller, String when) {
        assertWithMessage("%s: account", when)
                .that(fixture.context.clients().memory().heldBytes())
                .isEqualTo(caller.heldBytes());
        assertWithMessage("%s: buffers of received bytes", when)
                .that(allocator.metric().usedHeapMemory())
                .isEqualTo(caller.decoder().undecodedBytes());
    }

    /** Runs tasks until the decoder has taken what it may; responses are written meanwhile. */
    private void runTasks(EmbeddedChannel channel) {
        channel.runPendingTasks();
        channel.advanceTimeBy(2, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        releaseOutbound(channel);
    }

    private void releaseOutbound(EmbeddedChannel channel) {
        Object message = channel.readOutbound();
        while (message != null) {
            requestsDecoded++;
            ReferenceCountUtil.release(message);
            message = channel.readOutbound();
        }
    }

    private static byte[] stream(Random random) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int requests = 1 + random.nextInt(MAX_REQUESTS);
        for (int index = 0; index < requests; index++) {
            write(out, "\r\n".repeat(random.nextInt(4) / 3));
            writeRequest(out, random);
        }
        byte[] whole = out.toByteArray();
        // Some streams end within a request.
        int end = random.nextBoolean() ? whole.length : random.nextInt(whole.length);
        return Arrays.copyOf(whole, end);
    }

    private static void writeRequest(ByteArrayOutputStream out, Random random) {
        String path = random.nextInt(4) == 0 ? "/keyed-once/x" : "/none";
        write(out, "POST " + path + " HTTP/1.1\r\nHost: h\r\n");
        int fields = random.nextInt(1 + random.nextInt(2_000));
        for (int field = 0; field < fields; field++) {
            write(out, random.nextBoolean() ? "a:\r\n" : "X-Field: " + "v".repeat(random.nextInt(20)) + "\r\n");
        }
        switch (random.nextInt(5)) {
            case 0 -> write(out, "\r\n");
            case 1 -> {
                int length = random.nextInt(1 + random.nextInt(200_000));
                write(out, "Content-Length: " + length + "\r\n\r\n" + "b".repeat(length));
            }
            case 2 -> write(out, "Transfer-Encoding: gzip\r\n\r\n");
            default -> writeChunks(out, random);
        }
    }

    private static void writeChunks(ByteArrayOutputStream out, Random random) {
        write(out, "Transfer-Encoding: chunked\r\n\r\n");
        int maxChunk = 1 + random.nextInt(1 + random.nextInt(40_000));
        int chunks = random.nextInt(1 + random.nextInt(300));
        for (int chunk = 0; chunk < chunks; chunk++) {
            int length = 1 + random.nextInt(maxChunk);
            write(out, Integer.toHexString(length) + "\r\n" + "c".repeat(length) + "\r\n");
        }
        write(out, random.nextInt(20) == 0 ? "z\r\n" : "0\r\n");
        write(out, "Trailer: t\r\n".repeat(random.nextInt(3)) + "\r\n");
    }

    private static void write(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Heads of many tiny fields that stop short of their end brought down a process. */
    @Test
    void theConnectionThatHoldsMostIsRefusedAndTheOthersStay() {
        EmbeddedChannel[] channels = new EmbeddedChannel[8];
        CallerChannel[] callers = new CallerChannel[channels.length];
        for (int index = 0; index < channels.length; index++) {
            channels[index] = new EmbeddedChannel();
            callers[index] = new CallerChannel(new Worker(channels[index].eventLoop(), fixture.context), server);
            channels[index].pipeline().addLast(callers[index].decoder(), callers[index]);
            // The first connection holds most, about 200 KB more than each other one.
            int fields = index == 0 ? 1_600 : 600;
            channels[index].writeInbound(Unpooled.copiedBuffer(
                    "GET /none HTTP/1.1\r\n" + "a:\r\n".repeat(fields), StandardCharsets.US_ASCII));
        }
        for (EmbeddedChannel channel : channels) {
            channel.runPendingTasks();
        }
        assertThat(channels[0].isOpen()).isFalse();
        for (int index = 1; index < channels.length; index++) {
            assertWithMessage("connection %s", index)
                    .that(channels[index].isOpen())
                    .isTrue();
        }
        assertThat(fixture.context.clients().memory().heldBytes()).isAtMost(RoutingFixture.MAX_CLIENT_MEMORY_BYTES);
        assertThat(fixture.context.metrics().counterValue("clients.closed.memory"))
                .isEqualTo(1);
        for (EmbeddedChannel channel : channels) {
            channel.close();
            releaseOutbound(channel);
        }
        assertThat(fixture.context.clients().memory().heldBytes()).isEqualTo(0);
    }
}
