package org.snipewind.protocol;

import java.util.Optional;

/** Client side of a connection: authenticates itself and the server, and passes answers to the link. */
final class ClientChannelHandler extends PeerChannelHandler {

    private final PeerLink link;
    private final byte[] nonce = Handshake.newNonce();

    ClientChannelHandler(PeerSettings settings, PeerLink link) {
        super(settings);
        this.link = link;
    }

    @Override
    void onOpen() {
        writeHandshake(new Handshake.Hello(settings().memberId(), nonce).encode());
    }

    @Override
    void handleHandshake(byte[] message) {
        Handshake.Challenge challenge = Handshake.Challenge.decode(message);
        Handshake handshake = new Handshake(settings().memberId(), challenge.memberId(), nonce, challenge.nonce());
        byte[] secret = settings().secret();
        if (!Handshake.matches(handshake.serverProof(secret), challenge.proof())) {
            reject(new FrameException("proof of the server does not match the shared secret"));
            return;
        }
        writeHandshake(new Handshake.Proof(handshake.clientProof(secret)).encode());
        finishHandshake(challenge.memberId(), handshake.newFrameAuthenticator(secret, true));
    }

    @Override
    void onAuthenticated() {
        link.onAuthenticated(this);
    }

    @Override
    void handleFrame(Frame frame) {
        if (frame.kind() == FrameKind.ANSWER) {
            link.onAnswer(frame.number(), frame.message());
        } else {
            rejectMalformed(new FrameException("frame.kind is not ANSWER, but a server sends only answers"));
        }
    }

    @Override
    void onClosed(Optional<Throwable> cause) {
        link.onConnectionLost(cause);
    }
}
