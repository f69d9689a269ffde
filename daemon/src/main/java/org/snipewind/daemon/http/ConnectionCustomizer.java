package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import jakarta.inject.Singleton;

/** Applies the limits on connections and their memory to the server, and gives it a strict HTTP decoder. */
@Singleton
@Requires(beans = ConnectionLimit.class)
final class ConnectionCustomizer implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {

    /** Maximum size of a request's headers in bytes. */
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** Maximum length of a request line in bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

    private final ConnectionLimit limit;
    private final CallerMemory memory;

    ConnectionCustomizer(ConnectionLimit limit, CallerMemory memory) {
        this.limit = limit;
        this.memory = memory;
    }

    @Override
    public NettyServerCustomizer.Registry onCreated(BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
        event.getBean().register(new ChannelCustomizer(null));
        return event.getBean();
    }

    private final class ChannelCustomizer implements NettyServerCustomizer {

        private final Channel channel;

        ChannelCustomizer(Channel channel) {
            this.channel = channel;
        }

        @Override
        public NettyServerCustomizer specializeForChannel(Channel specialized, ChannelRole role) {
            if (role != ChannelRole.CONNECTION) {
                return new ChannelCustomizer(null);
            }
            limit.admit(specialized);
            return new ChannelCustomizer(specialized);
        }

        @Override
        public void onStreamPipelineBuilt() {
            if (channel == null) {
                return;
            }
            ChannelPipeline pipeline = channel.pipeline();
            String codec = ChannelPipelineCustomizer.HANDLER_HTTP_SERVER_CODEC;
            if (pipeline.get(codec) != null) {
                ConnectionAccount account = new ConnectionAccount(memory, channel);
                limit.addReplaceable(channel, account);
                HttpDecoderConfig strict = new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setHeadersFactory(account.headersFactory())
                        .setTrailersFactory(account.headersFactory());
                pipeline.replace(codec, codec, new HttpServerCodec(strict));
                pipeline.addBefore(codec, "received-bytes", new ReceivedBytesCounter(account));
                pipeline.addAfter(codec, "content-type", new WildcardContentTypeRemover());
                pipeline.addAfter(codec, "account", account);
            }
        }
    }

    /** Counts the bytes that the decoder reads. */
    private static final class ReceivedBytesCounter extends ChannelInboundHandlerAdapter {

        private final ConnectionAccount account;

        ReceivedBytesCounter(ConnectionAccount account) {
            this.account = account;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                account.received(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }
    }

    /** Removes the wildcard that Micronaut sets as the content type if the target's response has none. */
    private static final class WildcardContentTypeRemover extends ChannelOutboundHandlerAdapter {

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // The promise reports the outcome to the writer.
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpResponse response
                    && response.headers().contains(HttpHeaderNames.CONTENT_TYPE, "*/*", true)) {
                response.headers().remove(HttpHeaderNames.CONTENT_TYPE);
            }
            context.write(message, promise);
        }
    }
}
