package org.snipewind.router.http;

import io.netty.bootstrap.Bootstrap;
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

/** Opens client connections. */
public final class HttpConnector {

    /** Keep-alive probes find connections that fell silent without a reset within about three seconds. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private HttpConnector() {}

    /**
     * Opens a connection.
     *
     * @param loop event loop of the connection, on which the callbacks run
     * @param address address of the server
     * @param connectMillis longest time to connect
     * @param maxAnswerBytes longest body of an answer
     * @param onClosed called once when an open connection ends
     * @param opened gets the connection
     * @param refused gets the cause if there is no connection
     */
    public static void open(
            EventLoop loop,
            InetSocketAddress address,
            int connectMillis,
            int maxAnswerBytes,
            Runnable onClosed,
            Consumer<HttpConnection> opened,
            Consumer<Throwable> refused) {
        ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        HttpConnection connection = new HttpConnection(decoder, maxAnswerBytes, onClosed);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        created.pipeline().addLast(decoder, new HttpRequestEncoder());
                    }
                })
                .connect(address)
                .addListener((ChannelFutureListener) done -> finish(done, connection, opened, refused));
    }

    private static void finish(
            ChannelFuture done,
            HttpConnection connection,
            Consumer<HttpConnection> opened,
            Consumer<Throwable> refused) {
        if (!done.isSuccess()) {
            refused.accept(done.cause());
            return;
        }
        // The handler joins the pipeline only now, so that a failed attempt does not count as a closed connection.
        done.channel().pipeline().addLast(connection);
        opened.accept(connection);
    }
}
