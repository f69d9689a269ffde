package org.snipewind.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.memory.ClientMemory;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * Counts the open connections of callers. A connection beyond the limit takes the place of the one with the most costly
 * unfinished request, or else of the one that has been idle for longest; if requests are being served on all others, it
 * is refused.
 */
public final class ConnectionLimit {

    private final int callerPort;
    private final int maxConnections;
    private final ProcessMetrics metrics;
    private final ClientMemory account;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<ConnectionAccount> replaceable = ConcurrentHashMap.newKeySet();

    /**
     * Creates a limit.
     *
     * @param callerPort port of the callers' listener; other listeners are not limited
     * @param maxConnections maximum number of open connections
     * @param account memory of the connections
     * @param metrics metrics of the daemon
     */
    public ConnectionLimit(int callerPort, int maxConnections, ClientMemory account, ProcessMetrics metrics) {
        this.callerPort = callerPort;
        this.maxConnections = maxConnections;
        this.account = account;
        this.metrics = metrics;
        metrics.gauge("entry.connections", connections::get);
    }

    /**
     * Counts a new connection until it closes. If the limit is exceeded, makes room for it or refuses it.
     *
     * @param channel the connection
     */
    void admit(Channel channel) {
        if (!isCaller(channel)) {
            return;
        }
        boolean exceeded = connections.incrementAndGet() > maxConnections;
        channel.closeFuture().addListener(closed -> connections.decrementAndGet());
        if (exceeded && !makeRoom()) {
            metrics.countRefusal(ErrorKind.DAEMON_CONNECTIONS_LIMIT);
            channel.pipeline().addFirst("connection-refusal", new RefusingHandler());
        }
    }

    /** Lets a connection be replaced by new ones while it is idle. */
    void addReplaceable(Channel channel, ConnectionAccount connection) {
        if (isCaller(channel)) {
            replaceable.add(connection);
            channel.closeFuture().addListener(closed -> replaceable.remove(connection));
        }
    }

    private boolean isCaller(Channel channel) {
        return channel.localAddress() instanceof InetSocketAddress local && local.getPort() == callerPort;
    }

    private boolean makeRoom() {
        return account.closeMostCostly() || closeLongestIdle();
    }

    private boolean closeLongestIdle() {
        // Another new connection may choose the same one at the same time.
        Optional<ConnectionAccount> longest = longestIdle();
        while (longest.isPresent() && !replaceable.remove(longest.get())) {
            longest = longestIdle();
        }
        longest.ifPresent(connection -> connection.closeIfIdle(() -> replaceable.add(connection)));
        return longest.isPresent();
    }

    private Optional<ConnectionAccount> longestIdle() {
        return replaceable.stream()
                .filter(connection -> connection.idleSinceMillis().isPresent())
                .min(Comparator.comparingLong(
                        connection -> connection.idleSinceMillis().orElse(Long.MAX_VALUE)));
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
