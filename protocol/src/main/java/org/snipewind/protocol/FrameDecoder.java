package org.snipewind.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.PrematureChannelClosureException;
import java.util.List;

/** Splits the stream into frames by their 4-byte length prefixes and fails if the stream ends within a frame. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

    static final int PREFIX_BYTES = 4;

    FrameDecoder(int maxBytes) {
        super(maxBytes + PREFIX_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        if (out.isEmpty() && in.isReadable()) {
            throw new PrematureChannelClosureException("connection closed within a frame");
        }
    }
}
