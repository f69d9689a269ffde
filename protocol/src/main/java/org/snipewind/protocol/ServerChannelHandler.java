package org.snipewind.protocol;

import io.netty.channel.ChannelHandlerContext;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

/** The accepting end of a connection: checks the client's proof, hands messages on and sends the answers back. */
final class ServerChannelHandler extends PeerChannelHandler {

    private final PeerHandler handler;
    private final AtomicInteger unauthenticated;
    private Optional<Handshake> pending = Optional.empty();
    private boolean counted;

    ServerChannelHandler(PeerSettings settings, PeerHandler handler, AtomicInteger unauthenticated) {
        super(settings);
        this.handler = handler;
        this.unauthenticated = unauthenticated;
    }

    @Override
    void opened() {
        counted = true;
        if (unauthenticated.incrementAndGet() > settings().limits().unauthenticatedConnections()) {
            count(PeerEvent.HANDSHAKE_LIMIT, 1);
            close(context().channel());
        }
    }

    @Override
    void handshake(byte[] message) {
        if (pending.isEmpty()) {
            Handshake.Hello hello = Handshake.Hello.decode(message);
            Handshake values =
                    new Handshake(hello.memberId(), settings().memberId(), hello.nonce(), Handshake.newNonce());
            pending = Optional.of(values);
            writeHandshake(new Handshake.Challenge(
                            values.serverId(),
                            values.serverNonce(),
                            values.serverProof(settings().secret()))
                    .encode());
            return;
        }
        Handshake values = pending.get();
        byte[] proof = Handshake.Proof.decode(message).proof();
        if (!Handshake.matches(values.clientProof(settings().secret()), proof)) {
            reject(new FrameException("client did not prove the shared secret"));
            return;
        }
        finishHandshake(values.clientId(), values.seal(settings().secret(), false));
    }

    @Override
    void authenticated() {
        release();
    }

    @Override
    void received(Frame frame) {
        if (frame.kind() == FrameKind.ANSWER) {
            rejectMalformed(new FrameException("frame.kind is an answer, but no call was made"));
            return;
        }
        CompletionStage<Optional<PeerMessage>> stage;
        try {
            stage = Objects.requireNonNull(handler.handle(peerId(), frame.message()));
        } catch (RuntimeException e) {
            // The call stays unanswered; a fault of one message must not end the calls of others.
            count(PeerEvent.HANDLER_FAILED, 1);
            return;
        }
        stage.whenComplete((answer, problem) -> {
            if (problem != null || answer == null) {
                count(PeerEvent.HANDLER_FAILED, 1);
            } else if (frame.kind() == FrameKind.CALL) {
                answer.ifPresent(message -> answer(frame.number(), message));
            }
        });
    }

    @Override
    void closed(Optional<Throwable> cause) {
        release();
    }

    // A client that does not read its answers is not read from either, so that its answers don't pile up.
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        changed.channel().config().setAutoRead(changed.channel().isWritable());
        changed.fireChannelWritabilityChanged();
    }

    private void answer(long number, PeerMessage message) {
        byte[] body;
        try {
            body = new Frame(FrameKind.ANSWER, number, settings().memberId(), message).encode();
        } catch (FrameException e) {
            count(PeerEvent.HANDLER_FAILED, 1);
            return;
        }
        boolean forwarding = Frame.isForwarding(message);
        if (context().executor().inEventLoop()) {
            writeFrame(body, forwarding);
        } else {
            context().executor().execute(() -> writeFrame(body, forwarding));
        }
    }

    private void release() {
        if (counted) {
            counted = false;
            unauthenticated.decrementAndGet();
        }
    }
}
