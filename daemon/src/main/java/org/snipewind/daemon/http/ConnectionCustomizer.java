package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import jakarta.inject.Singleton;

/** Adds the limit on connections and a strict decoder to each connection of the server. */
@Singleton
@Requires(beans = ConnectionLimit.class)
final class ConnectionCustomizer implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {

    /** Longest headers of a request in bytes. */
    private static final int HEADER_BYTES = 32 * 1024;

    /** Longest request line in bytes. */
    private static final int LINE_BYTES = 8 * 1024;

    private final ConnectionLimit limit;

    ConnectionCustomizer(ConnectionLimit limit) {
        this.limit = limit;
    }

    @Override
    public NettyServerCustomizer.Registry onCreated(BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
        event.getBean().register(new ForChannel(null));
        return event.getBean();
    }

    private final class ForChannel implements NettyServerCustomizer {

        private final Channel channel;

        ForChannel(Channel channel) {
            this.channel = channel;
        }

        @Override
        public NettyServerCustomizer specializeForChannel(Channel specialized, ChannelRole role) {
            if (role != ChannelRole.CONNECTION) {
                return new ForChannel(null);
            }
            limit.admit(specialized);
            return new ForChannel(specialized);
        }

        @Override
        public void onStreamPipelineBuilt() {
            if (channel == null) {
                return;
            }
            ChannelPipeline pipeline = channel.pipeline();
            String codec = ChannelPipelineCustomizer.HANDLER_HTTP_SERVER_CODEC;
            if (pipeline.get(codec) != null) {
                HttpDecoderConfig strict = new HttpDecoderConfig()
                        .setMaxInitialLineLength(LINE_BYTES)
                        .setMaxHeaderSize(HEADER_BYTES)
                        .setHeadersFactory(new StrictHeaders());
                pipeline.replace(codec, codec, new HttpServerCodec(strict));
                pipeline.addAfter(codec, "content-type", new ContentTypeHandler());
            }
        }
    }

    private static final class StrictHeaders implements HttpHeadersFactory {

        @Override
        public HttpHeaders newHeaders() {
            return new FramingHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new FramingHeaders();
        }
    }

    /** Removes the wildcard that Micronaut sets as the type of an answer whose target named none. */
    private static final class ContentTypeHandler extends ChannelOutboundHandlerAdapter {

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // The promise carries the outcome to the writer.
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpResponse response
                    && response.headers().contains(HttpHeaderNames.CONTENT_TYPE, "*/*", true)) {
                response.headers().remove(HttpHeaderNames.CONTENT_TYPE);
            }
            context.write(message, promise);
        }
    }
}
