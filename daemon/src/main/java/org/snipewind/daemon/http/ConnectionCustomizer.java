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

/** Applies the connection limit to each connection of the server, and gives it a strict HTTP decoder. */
@Singleton
@Requires(beans = ConnectionLimit.class)
final class ConnectionCustomizer implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {

    /** Maximum size of a request's headers in bytes. */
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** Maximum length of a request line in bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

    private final ConnectionLimit limit;

    ConnectionCustomizer(ConnectionLimit limit) {
        this.limit = limit;
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
                HttpDecoderConfig strict = new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setHeadersFactory(new FramingHeadersFactory());
                pipeline.replace(codec, codec, new HttpServerCodec(strict));
                pipeline.addAfter(codec, "content-type", new WildcardContentTypeRemover());
            }
        }
    }

    private static final class FramingHeadersFactory implements HttpHeadersFactory {

        @Override
        public HttpHeaders newHeaders() {
            return new FramingHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new FramingHeaders();
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
