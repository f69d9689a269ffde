package org.snipewind.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/** Opens client connections to HTTP servers. */
public final class HttpConnector {

    /** TCP keep-alive probes detect within about three seconds that a connection was lost without a reset. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /** The reads before each reuse mostly find nothing, which would shrink the buffer of the next response. */
    private static final int MIN_READ_BYTES = 2_048;

    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private HttpConnector() {}

    /**
     * Opens a connection.
     *
     * @param loop event loop of the connection, on which the callbacks run
     * @param address address of the server
     * @param connectTimeoutMillis longest time to connect
     * @param options what the connections to the server have in common
     * @param opened receives the connection
     * @param connectFailed receives the cause if no connection could be opened
     */
    public static void open(
            EventLoop loop,
            InetSocketAddress address,
            int connectTimeoutMillis,
            ConnectionOptions options,
            Consumer<HttpConnection> opened,
            Consumer<Throwable> connectFailed) {
        ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        HttpConnection connection = new HttpConnection(decoder, options);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, BufferMemory.SMALL_BYTES))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        created.pipeline().addLast(decoder, new HttpRequestEncoder());
                    }
                })
                .connect(address)
                .addListener((ChannelFutureListener) done -> connectCompleted(done, connection, opened, connectFailed));
    }

    private static void connectCompleted(
            ChannelFuture done,
            HttpConnection connection,
            Consumer<HttpConnection> opened,
            Consumer<Throwable> connectFailed) {
        if (!done.isSuccess()) {
            connectFailed.accept(done.cause());
            return;
        }
        // The handler is added only now, so that a failed attempt to connect does not count as a closed connection.
        done.channel().pipeline().addLast(connection);
        opened.accept(connection);
    }
}
