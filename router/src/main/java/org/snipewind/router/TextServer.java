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
import java.util.function.Function;

/** Answers questions of the platform and of operators with short texts, such as readiness and metrics. */
final class TextServer {

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param text text of the answer
     */
    record Text(int status, String text) {}

    private final EventLoopGroup loops;
    private final Function<String, Text> pages;

    TextServer(EventLoopGroup loops, Function<String, Text> pages) {
        this.loops = loops;
        this.pages = pages;
    }

    /** Starts to listen; must not be called on a network thread. */
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

    /** Answers one request and closes the connection. */
    private final class Handler extends SimpleChannelInboundHandler<HttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
            Text page = request.decoderResult().isSuccess()
                    ? pages.apply(request.uri())
                    : new Text(HttpResponseStatus.BAD_REQUEST.code(), "malformed request");
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
            // The other side went away; there is nobody to tell.
            context.close();
        }
    }
}
