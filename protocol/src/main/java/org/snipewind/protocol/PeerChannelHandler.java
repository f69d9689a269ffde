package org.snipewind.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** What both ends of a connection share: handshake deadline, checks of received frames, sealing and counting. */
@SuppressWarnings("FutureReturnValueIgnored") // The end of a close or a timer is seen in channelInactive.
abstract class PeerChannelHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final String DECODER = "frame-decoder";
    private static final Object CLOSING = "closing";

    /** Messages written in one turn of the event loop share a flush, but no more than this many. */
    private static final int FLUSH_AFTER = 64;

    private final PeerSettings settings;
    private ChannelHandlerContext context;
    private ScheduledFuture<?> handshakeDeadline;
    private FrameSeal seal;
    private String peerId = "";
    private Throwable failure;
    private boolean closing;

    PeerChannelHandler(PeerSettings settings) {
        this.settings = settings;
    }

    /** Fills the pipeline of a new connection. */
    final void install(ChannelPipeline pipeline, Optional<SslHandler> tls) {
        tls.ifPresent(pipeline::addLast);
        pipeline.addLast(new FlushConsolidationHandler(FLUSH_AFTER, true));
        pipeline.addLast(DECODER, new FrameDecoder(Handshake.MAX_BYTES));
        pipeline.addLast(new LengthFieldPrepender(FrameDecoder.PREFIX_BYTES));
        pipeline.addLast(this);
    }

    /** Called once when the connection is open; the client sends its first message. */
    abstract void opened();

    /** Handles a handshake message; a proof that does not match closes the connection. */
    abstract void handshake(byte[] message);

    /** Called once when both sides have proved the secret. */
    abstract void authenticated();

    /** Handles an authenticated frame. */
    abstract void received(Frame frame);

    /** Called once after the connection has closed. */
    abstract void closed(Optional<Throwable> cause);

    final PeerSettings settings() {
        return settings;
    }

    final ChannelHandlerContext context() {
        return context;
    }

    final String peerId() {
        return peerId;
    }

    final boolean isAuthenticated() {
        return seal != null;
    }

    /** Closes a connection on this side's own decision, which counts as no loss; may be called on any thread. */
    static void close(Channel channel) {
        channel.pipeline().fireUserEventTriggered(CLOSING);
        channel.close();
    }

    /** Closes the connection because of what the peer did. */
    final void reject(Throwable cause) {
        if (failure == null) {
            failure = cause;
        }
        context.close();
    }

    final void finishHandshake(String authenticatedId, FrameSeal newSeal) {
        handshakeDeadline.cancel(false);
        peerId = authenticatedId;
        seal = newSeal;
        context.pipeline().replace(DECODER, DECODER, new FrameDecoder(Frame.MAX_BYTES));
        authenticated();
    }

    final void writeHandshake(byte[] message) {
        count(PeerEvent.BYTES_SENT_CONTROL, message.length + FrameDecoder.PREFIX_BYTES);
        write(Unpooled.wrappedBuffer(message));
    }

    /** Seals and writes an encoded frame; called on the connection's event loop only, which orders the seals. */
    final void writeFrame(byte[] body, boolean forwarding) {
        byte[] tag = seal.seal(body);
        count(PeerEvent.FRAMES_SENT, 1);
        count(
                forwarding ? PeerEvent.BYTES_SENT_FORWARDING : PeerEvent.BYTES_SENT_CONTROL,
                body.length + tag.length + FrameDecoder.PREFIX_BYTES);
        write(Unpooled.wrappedBuffer(body, tag));
    }

    final void count(PeerEvent event, long amount) {
        settings.counters().add(event, amount);
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    @Override
    public final void channelActive(ChannelHandlerContext active) {
        handshakeDeadline = active.executor()
                .schedule(
                        () -> reject(new FrameException("handshake took too long")),
                        settings.limits().handshakeMillis(),
                        TimeUnit.MILLISECONDS);
        opened();
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext notified, Object event) {
        if (event == CLOSING) {
            closing = true;
        }
        notified.fireUserEventTriggered(event);
    }

    @Override
    public final void channelInactive(ChannelHandlerContext inactive) {
        if (handshakeDeadline != null) {
            handshakeDeadline.cancel(false);
        }
        if (!closing) {
            count(isAuthenticated() ? PeerEvent.CONNECTION_LOST : PeerEvent.HANDSHAKE_FAILED, 1);
        }
        closed(Optional.ofNullable(failure));
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext reading, ByteBuf buffer) {
        // Frames that follow a rejected one in the same read are dropped.
        if (failure != null || closing) {
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        if (seal == null) {
            readHandshake(bytes);
        } else if (seal.open(bytes)) {
            readFrame(bytes);
        } else {
            count(PeerEvent.FRAME_UNAUTHENTICATED, 1);
            reject(new FrameException("frame has a wrong tag"));
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        // Bytes that remain after this side has given up the connection are no new fault.
        if (failure == null && !closing) {
            if (cause instanceof TooLongFrameException) {
                count(PeerEvent.FRAME_OVERSIZED, 1);
            } else if (cause.getCause() instanceof PrematureChannelClosureException) {
                count(PeerEvent.FRAME_TRUNCATED, 1);
            } else if (cause instanceof CorruptedFrameException) {
                count(PeerEvent.FRAME_MALFORMED, 1);
            }
        }
        reject(cause);
    }

    private void readHandshake(byte[] bytes) {
        count(PeerEvent.BYTES_RECEIVED_CONTROL, bytes.length + FrameDecoder.PREFIX_BYTES);
        try {
            handshake(bytes);
        } catch (FrameException e) {
            count(PeerEvent.FRAME_UNAUTHENTICATED, 1);
            reject(e);
        }
    }

    private void readFrame(byte[] bytes) {
        Frame frame;
        try {
            frame = Frame.decode(bytes, bytes.length - FrameSeal.TAG_BYTES);
            if (!frame.senderId().equals(peerId)) {
                throw new FrameException("frame.senderId is not the member that proved the secret");
            }
        } catch (FrameException e) {
            rejectMalformed(e);
            return;
        }
        count(PeerEvent.FRAMES_RECEIVED, 1);
        count(
                Frame.isForwarding(frame.message())
                        ? PeerEvent.BYTES_RECEIVED_FORWARDING
                        : PeerEvent.BYTES_RECEIVED_CONTROL,
                bytes.length + FrameDecoder.PREFIX_BYTES);
        received(frame);
    }

    final void rejectMalformed(FrameException cause) {
        count(PeerEvent.FRAME_MALFORMED, 1);
        reject(cause);
    }

    private void write(ByteBuf buffer) {
        context.writeAndFlush(buffer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
}
