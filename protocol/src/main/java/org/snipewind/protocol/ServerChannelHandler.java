package org.snipewind.protocol;

import io.netty.channel.ChannelHandlerContext;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

/** Server side of a connection: authenticates the client, passes its messages to the handler and sends the answers. */
final class ServerChannelHandler extends PeerChannelHandler {

    private final PeerHandler handler;
    private final AtomicInteger unauthenticatedConnections;
    private Optional<Handshake> pendingHandshake = Optional.empty();
    private boolean countedAsUnauthenticated;

    ServerChannelHandler(PeerSettings settings, PeerHandler handler, AtomicInteger unauthenticatedConnections) {
        super(settings);
        this.handler = handler;
        this.unauthenticatedConnections = unauthenticatedConnections;
    }

    @Override
    void onOpen() {
        countedAsUnauthenticated = true;
        if (unauthenticatedConnections.incrementAndGet() > settings().limits().maxUnauthenticatedConnections()) {
            count(PeerEvent.HANDSHAKE_LIMIT, 1);
            closeLocally(context().channel());
        }
    }

    @Override
    void handleHandshake(byte[] message) {
        if (pendingHandshake.isEmpty()) {
            Handshake.Hello hello = Handshake.Hello.decode(message);
            Handshake handshake =
                    new Handshake(hello.memberId(), settings().memberId(), hello.nonce(), Handshake.newNonce());
            pendingHandshake = Optional.of(handshake);
            writeHandshake(new Handshake.Challenge(
                            handshake.serverId(),
                            handshake.serverNonce(),
                            handshake.serverProof(settings().secret()))
                    .encode());
            return;
        }
        Handshake handshake = pendingHandshake.get();
        byte[] proof = Handshake.Proof.decode(message).proof();
        if (!Handshake.matches(handshake.clientProof(settings().secret()), proof)) {
            reject(new FrameException("proof of the client does not match the shared secret"));
            return;
        }
        finishHandshake(
                handshake.clientId(), handshake.newFrameAuthenticator(settings().secret(), false));
    }

    @Override
    void onAuthenticated() {
        stopCountingAsUnauthenticated();
    }

    @Override
    void handleFrame(Frame frame) {
        if (frame.kind() == FrameKind.ANSWER) {
            rejectMalformed(new FrameException("frame.kind is ANSWER, but a server makes no calls"));
            return;
        }
        CompletionStage<Optional<PeerMessage>> pendingAnswer;
        try {
            pendingAnswer = Objects.requireNonNull(handler.handle(peerId(), frame.message()));
        } catch (RuntimeException e) {
            // The call stays unanswered; closing the connection would end the other calls on it too.
            count(PeerEvent.HANDLER_FAILED, 1);
            return;
        }
        pendingAnswer.whenComplete((answer, failure) -> {
            if (failure != null || answer == null) {
                count(PeerEvent.HANDLER_FAILED, 1);
            } else if (frame.kind() == FrameKind.CALL) {
                answer.ifPresent(message -> sendAnswer(frame.number(), message));
            }
        });
    }

    @Override
    void onClosed(Optional<Throwable> cause) {
        stopCountingAsUnauthenticated();
    }

    // While a client does not read its answers, no messages are read from it, so that the answers don't use up memory.
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        changed.channel().config().setAutoRead(changed.channel().isWritable());
        changed.fireChannelWritabilityChanged();
    }

    private void sendAnswer(long callNumber, PeerMessage message) {
        byte[] body;
        try {
            body = new Frame(FrameKind.ANSWER, callNumber, settings().memberId(), message).encode();
        } catch (FrameException e) {
            count(PeerEvent.HANDLER_FAILED, 1);
            return;
        }
        String messageName = message.getClass().getSimpleName();
        boolean forwarding = Frame.isForwarding(message);
        if (context().executor().inEventLoop()) {
            writeFrame(body, messageName, forwarding);
        } else {
            context().executor().execute(() -> writeFrame(body, messageName, forwarding));
        }
    }

    private void stopCountingAsUnauthenticated() {
        if (countedAsUnauthenticated) {
            countedAsUnauthenticated = false;
            unauthenticatedConnections.decrementAndGet();
        }
    }
}
