package org.snipewind.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Decodes answers, of which those to HEAD requests have no body whatever their headers say. Empty lines before an
 * answer, which the base class skips without a limit, count as a part of its head.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private final int maxHeadBytes;
    private int headBytes;
    private boolean headRequest;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
        maxHeadBytes = config.getMaxInitialLineLength() + config.getMaxHeaderSize();
    }

    void expectAnswerToHead(boolean head) {
        headRequest = head;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int readable = buffer.readableBytes();
        int decoded = out.size();
        super.decode(context, buffer, out);
        headBytes = out.size() == decoded ? headBytes + readable - buffer.readableBytes() : 0;
        if (headBytes > maxHeadBytes) {
            throw new TooLongHttpHeaderException("no answer within " + maxHeadBytes + " bytes");
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }
}
