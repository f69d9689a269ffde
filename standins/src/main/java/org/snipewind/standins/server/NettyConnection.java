package org.snipewind.standins.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A connection of the Netty server of Micronaut. */
final class NettyConnection implements StandInConnection {

    private final Channel channel;

    NettyConnection(Channel channel) {
        this.channel = channel;
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The client may have closed the connection before.
    public void drop() {
        channel.close();
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The client may have closed the connection before.
    public void sendTruncated(StandInResponse response) {
        byte[] body = response.body();
        String head = "HTTP/1.1 " + response.status() + " Cut\r\nContent-Length: " + body.length + "\r\n\r\n";
        // Writing from the context of the first handler bypasses the HTTP encoder, which would not send a wrong length.
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(
                        head.getBytes(StandardCharsets.ISO_8859_1), Arrays.copyOf(body, body.length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
