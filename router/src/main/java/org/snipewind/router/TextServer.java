package org.snipewind.router;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** An HTTP server for plain-text pages for the platform and operators, such as readiness and metrics. */
final class TextServer {

    /**
     * A page.
     *
     * @param status HTTP status code
     * @param text plain text of the page
     */
    record Page(int status, String text) {}

    private final EventLoopGroup loops;
    private final Function<String, CompletableFuture<Page>> pages;

    TextServer(EventLoopGroup loops, Function<String, CompletableFuture<Page>> pages) {
        this.loops = loops;
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
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline().addLast(new HttpRequestDecoder(), new HttpResponseEncoder(), new Handler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    /** Responds to one request and closes the connection. */
    private final class Handler extends SimpleChannelInboundHandler<HttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
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
