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

/** Accepts connections of peers and answers their messages on the same connection. */
public final class PeerServer implements AutoCloseable {

    private final PeerSettings settings;
    private final PeerHandler handler;
    private final EventLoops loops;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AtomicInteger unauthenticated = new AtomicInteger();

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings own member id, address, secret, TLS, event loops and limits
     * @param handler handles the messages of authenticated peers
     */
    public PeerServer(PeerSettings settings, PeerHandler handler) {
        this.settings = settings;
        this.handler = handler;
        this.loops = new EventLoops(settings, "snipewind-peer-server");
    }

    /**
     * Starts to listen; must not be called on a network thread.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress start() {
        Channel listening = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                settings.limits().unsentBytes() / 2,
                                settings.limits().unsentBytes()))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        channels.add(accepted);
                        new ServerChannelHandler(settings, handler, unauthenticated)
                                .install(
                                        accepted.pipeline(),
                                        settings.serverTls().map(tls -> tls.newHandler(accepted.alloc())));
                    }
                })
                .bind(settings.host(), settings.port())
                .syncUninterruptibly()
                .channel();
        channels.add(listening);
        return (InetSocketAddress) listening.localAddress();
    }

    /** Stops to listen and closes the connections; must not be called on a network thread. */
    @Override
    public void close() {
        channels.forEach(PeerChannelHandler::close);
        channels.close().awaitUninterruptibly();
        loops.close();
    }
}
