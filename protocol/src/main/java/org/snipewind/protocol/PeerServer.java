package org.snipewind.protocol;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** Accepts connections from peers and sends the answer to each message on the connection it arrived on. */
public final class PeerServer implements AutoCloseable {

    private final PeerSettings settings;
    private final PeerHandler handler;
    private final EventLoops eventLoops;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AtomicInteger unauthenticatedConnections = new AtomicInteger();

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings this side's member id, address, secret, TLS, event loops and limits
     * @param handler handler of messages from authenticated peers
     */
    public PeerServer(PeerSettings settings, PeerHandler handler) {
        this.settings = settings;
        this.handler = handler;
        this.eventLoops = new EventLoops(settings, "snipewind-peer-server");
    }

    /**
     * Starts listening. Waits until the port is bound, so it must not be called on a network thread.
     *
     * @return the address that is listened on, with the actual port
     */
    public InetSocketAddress start() {
        Channel serverChannel = new ServerBootstrap()
                .group(eventLoops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                settings.limits().maxUnsentBytes() / 2,
                                settings.limits().maxUnsentBytes()))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        channels.add(accepted);
                        new ServerChannelHandler(settings, handler, unauthenticatedConnections)
                                .install(
                                        accepted.pipeline(),
                                        settings.serverTls().map(tls -> tls.newHandler(accepted.alloc())));
                    }
                })
                .bind(settings.host(), settings.port())
                .syncUninterruptibly()
                .channel();
        channels.add(serverChannel);
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Stops listening, closes the connections and waits until they are closed; must not run on a network thread. */
    @Override
    public void close() {
        channels.forEach(PeerChannelHandler::closeLocally);
        channels.close().awaitUninterruptibly();
        eventLoops.close();
    }
}
