package org.snipewind.router;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.snipewind.router.memory.CountingHeaders;
import org.snipewind.router.metrics.ProcessMetrics;

/** An HTTP server for plain-text pages for the platform and operators, such as readiness and metrics. */
final class TextServer {

    /**
     * A page.
     *
     * @param status HTTP status code
     * @param text plain text of the page
     */
    record Page(int status, String text) {}

    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    /** Memory that the header fields of a request may take, enough for about a hundred of them. */
    private static final long MAX_FIELD_MEMORY_BYTES = 32 * 1024;

    /** Open connections; the oldest is closed if there are more. */
    private static final int MAX_CONNECTIONS = 64;

    /** Longest time from the opening of a connection until its response has been taken. */
    private static final long MAX_CONNECTION_SECONDS = 10;

    private static final int READ_BYTES = 2_048;

    private static final HttpHeadersFactory FIELDS = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new CountingHeaders(MAX_FIELD_MEMORY_BYTES);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    };

    private final EventLoopGroup loops;
    private final ProcessMetrics metrics;
    private final Function<String, CompletableFuture<Page>> pages;
    private final Deque<Channel> connections = new ConcurrentLinkedDeque<>();

    TextServer(EventLoopGroup loops, ProcessMetrics metrics, Function<String, CompletableFuture<Page>> pages) {
        this.loops = loops;
        this.metrics = metrics;
        this.pages = pages;
    }

    /**
     * Starts listening and returns the address with the bound port. Blocks, so it must not be called on an event loop.
     */
    InetSocketAddress start(InetSocketAddress address) {
        return (InetSocketAddress) new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        HttpRequestDecoder decoder = newDecoder();
                        // No request behind the first one is decoded.
                        decoder.setSingleDecode(true);
                        accepted.pipeline().addLast(decoder, new HttpResponseEncoder(), new Handler());
                        limit(accepted);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    private static HttpRequestDecoder newDecoder() {
        return new HttpRequestDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHeadersFactory(FIELDS)
                .setTrailersFactory(FIELDS));
    }

    /** Closes the connection after some time, and the oldest one if there are too many. */
    private void limit(Channel accepted) {
        connections.addLast(accepted);
        Future<?> timeout = accepted.eventLoop()
                .schedule(() -> close(accepted, "timeout"), MAX_CONNECTION_SECONDS, TimeUnit.SECONDS);
        accepted.closeFuture().addListener(closed -> {
            timeout.cancel(false);
            connections.remove(accepted);
        });
        if (connections.size() > MAX_CONNECTIONS) {
            Optional.ofNullable(connections.pollFirst()).ifPresent(oldest -> close(oldest, "connections"));
        }
    }

    private void close(Channel connection, String reason) {
        metrics.count("pages.closed." + reason);
        connection.close();
    }

    /** Responds to one request and closes the connection. */
    private final class Handler extends SimpleChannelInboundHandler<HttpRequest> {
        private boolean responded;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
            if (responded) {
                return;
            }
            responded = true;
            context.channel().config().setAutoRead(false);
            CompletableFuture<Page> page = request.decoderResult().isSuccess()
                    ? pages.apply(request.uri())
                    : CompletableFuture.completedFuture(
                            new Page(HttpResponseStatus.BAD_REQUEST.code(), "malformed request"));
            page.exceptionally(failure ->
                            new Page(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "page failed: " + failure + "\n"))
                    .thenAccept(ready -> respond(context, ready));
        }

        private void respond(ChannelHandlerContext context, Page page) {
            byte[] bytes = page.text().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(bytes));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                    .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The client closed the connection, so no response can be sent.
            context.close();
        }
    }
}
