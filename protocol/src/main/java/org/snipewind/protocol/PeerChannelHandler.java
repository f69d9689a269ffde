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

/**
 * Common part of both sides of a connection: handshake timeout, checks of received frames, authentication tags of sent
 * frames, and counters.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channelInactive reports the close and cancels the timer.
abstract class PeerChannelHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final String DECODER_NAME = "frame-decoder";
    private static final Object LOCAL_CLOSE_EVENT = "closing";

    /** Messages written in one iteration of the event loop are flushed together, at most this many at a time. */
    private static final int MAX_WRITES_PER_FLUSH = 64;

    private final PeerSettings settings;
    private ChannelHandlerContext context;
    private ScheduledFuture<?> handshakeTimeout;
    private FrameAuthenticator frameAuthenticator;
    private String peerId = "";
    private Throwable firstFailure;
    private boolean closedLocally;

    PeerChannelHandler(PeerSettings settings) {
        this.settings = settings;
    }

    /** Adds the handlers of a new connection to its pipeline. */
    final void install(ChannelPipeline pipeline, Optional<SslHandler> tls) {
        tls.ifPresent(pipeline::addLast);
        pipeline.addLast(new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true));
        pipeline.addLast(DECODER_NAME, new FrameDecoder(Handshake.MAX_BYTES));
        pipeline.addLast(new LengthFieldPrepender(FrameDecoder.PREFIX_BYTES));
        pipeline.addLast(this);
    }

    /** Called once when the connection is open; the client starts the handshake here. */
    abstract void onOpen();

    /** Handles a handshake message; closes the connection if the proof in it does not match. */
    abstract void handleHandshake(byte[] message);

    /** Called once when the handshake is complete. */
    abstract void onAuthenticated();

    /** Handles an authenticated frame. */
    abstract void handleFrame(Frame frame);

    /** Called once after the connection has closed, with the failure that closed it, if any. */
    abstract void onClosed(Optional<Throwable> cause);

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
        return frameAuthenticator != null;
    }

    /** Closes a connection without counting it as lost or as a failed handshake; may be called on any thread. */
    static void closeLocally(Channel channel) {
        channel.pipeline().fireUserEventTriggered(LOCAL_CLOSE_EVENT);
        channel.close();
    }

    /** Closes the connection because of a failure; only the first failure is passed to {@link #onClosed}. */
    final void reject(Throwable cause) {
        if (firstFailure == null) {
            firstFailure = cause;
        }
        context.close();
    }

    final void finishHandshake(String authenticatedId, FrameAuthenticator newAuthenticator) {
        handshakeTimeout.cancel(false);
        peerId = authenticatedId;
        frameAuthenticator = newAuthenticator;
        context.pipeline().replace(DECODER_NAME, DECODER_NAME, new FrameDecoder(Frame.MAX_BYTES));
        onAuthenticated();
    }

    final void writeHandshake(byte[] message) {
        count(PeerEvent.BYTES_SENT_CONTROL, message.length + FrameDecoder.PREFIX_BYTES);
        write(Unpooled.wrappedBuffer(message));
    }

    /**
     * Writes an encoded frame with its authentication tag. Called on the connection's event loop only, so that frames
     * are numbered in the order in which they are sent.
     */
    final void writeFrame(byte[] body, String messageName, boolean forwarding) {
        byte[] tag = frameAuthenticator.nextTag(body);
        long bytes = body.length + tag.length + FrameDecoder.PREFIX_BYTES;
        count(PeerEvent.FRAMES_SENT, 1);
        count(forwarding ? PeerEvent.BYTES_SENT_FORWARDING : PeerEvent.BYTES_SENT_CONTROL, bytes);
        settings.counters().frameSent(peerId, messageName, bytes);
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
        handshakeTimeout = active.executor()
                .schedule(
                        () -> reject(new FrameException("handshake timed out")),
                        settings.limits().handshakeTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        onOpen();
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext notified, Object event) {
        if (event == LOCAL_CLOSE_EVENT) {
            closedLocally = true;
        }
        notified.fireUserEventTriggered(event);
    }

    @Override
    public final void channelInactive(ChannelHandlerContext inactive) {
        if (handshakeTimeout != null) {
            handshakeTimeout.cancel(false);
        }
        if (!closedLocally) {
            count(isAuthenticated() ? PeerEvent.CONNECTION_LOST : PeerEvent.HANDSHAKE_FAILED, 1);
        }
        onClosed(Optional.ofNullable(firstFailure));
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext reading, ByteBuf buffer) {
        // Frames that arrived together with a rejected one are dropped.
        if (firstFailure != null || closedLocally) {
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        if (frameAuthenticator == null) {
            readHandshake(bytes);
        } else if (frameAuthenticator.verify(bytes)) {
            readFrame(bytes);
        } else {
            count(PeerEvent.FRAME_UNAUTHENTICATED, 1);
            reject(new FrameException("frame has a wrong authentication tag"));
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        // Errors in the bytes that are left after this side has closed the connection are not counted.
        if (firstFailure == null && !closedLocally) {
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
            handleHandshake(bytes);
        } catch (FrameException e) {
            count(PeerEvent.FRAME_UNAUTHENTICATED, 1);
            reject(e);
        }
    }

    private void readFrame(byte[] bytes) {
        Frame frame;
        try {
            frame = Frame.decode(bytes, bytes.length - FrameAuthenticator.TAG_BYTES);
            if (!frame.senderId().equals(peerId)) {
                throw new FrameException("frame.senderId is not the member that was authenticated in the handshake");
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
        handleFrame(frame);
    }

    final void rejectMalformed(FrameException cause) {
        count(PeerEvent.FRAME_MALFORMED, 1);
        reject(cause);
    }

    private void write(ByteBuf buffer) {
        context.writeAndFlush(buffer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
}
