package org.snipewind.router.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads from a connection what its peer has sent, ahead of the event loop, which serves other connections first. */
public final class PendingBytes {

    private PendingBytes() {}

    /**
     * Passes the bytes, or the end of the connection, that have arrived so far through the channel's pipeline.
     *
     * @param channel the channel; the current thread is that of its event loop
     */
    public static void read(Channel channel) {
        if (channel instanceof AbstractNioChannel nioChannel) {
            nioChannel.unsafe().read();
        }
    }
}
