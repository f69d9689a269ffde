package org.snipewind.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.metrics.ProcessMetrics;

/** Counts the open connections of callers, and refuses connections beyond the limit. */
public final class ConnectionLimit {

    private final int callerPort;
    private final int maxConnections;
    private final ProcessMetrics metrics;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Creates a limit.
     *
     * @param callerPort port of the callers' listener; other listeners are not limited
     * @param maxConnections maximum number of open connections
     * @param metrics metrics of the daemon
     */
    public ConnectionLimit(int callerPort, int maxConnections, ProcessMetrics metrics) {
        this.callerPort = callerPort;
        this.maxConnections = maxConnections;
        this.metrics = metrics;
        metrics.gauge("entry.connections", connections::get);
    }

    /**
     * Counts a new connection until it closes, and refuses it if the limit is exceeded.
     *
     * @param channel the connection
     */
    void admit(Channel channel) {
        if (!(channel.localAddress() instanceof InetSocketAddress local) || local.getPort() != callerPort) {
            return;
        }
        boolean exceeded = connections.incrementAndGet() > maxConnections;
        channel.closeFuture().addListener(closed -> connections.decrementAndGet());
        if (exceeded) {
            metrics.countRefusal(ErrorKind.DAEMON_CONNECTIONS_LIMIT);
            channel.pipeline().addFirst("connection-refusal", new RefusingHandler());
        }
    }

    /** Sends the refusal before any request is read, closes the connection, and discards what the caller sends. */
    private static final class RefusingHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            if (context.channel().isActive()) {
                refuse(context);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            refuse(context);
        }

        private static void refuse(ChannelHandlerContext context) {
            RawRefusal.sendAndClose(
                    context.channel(), ErrorKind.DAEMON_CONNECTIONS_LIMIT, "too many connections are open");
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
