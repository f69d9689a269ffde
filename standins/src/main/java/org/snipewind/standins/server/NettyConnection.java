package org.snipewind.standins.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A connection of Micronaut's server. */
final class NettyConnection implements StandInConnection {

    private final Channel channel;

    NettyConnection(Channel channel) {
        this.channel = channel;
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The other side may have closed the connection before.
    public void drop() {
        channel.close();
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The other side may have closed the connection before.
    public void sendTruncated(StandInResponse answer) {
        byte[] body = answer.body();
        String head = "HTTP/1.1 " + answer.status() + " Cut\r\nContent-Length: " + body.length + "\r\n\r\n";
        // The first handler's context writes past the HTTP encoder, which would not send a wrong length.
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(
                        head.getBytes(StandardCharsets.ISO_8859_1), Arrays.copyOf(body, body.length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
