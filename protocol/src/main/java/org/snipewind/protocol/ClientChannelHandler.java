package org.snipewind.protocol;

import java.util.Optional;

/** The opening end of a connection: proves the secret, checks the server's proof and hands answers to its link. */
final class ClientChannelHandler extends PeerChannelHandler {

    private final PeerLink link;
    private final byte[] nonce = Handshake.newNonce();

    ClientChannelHandler(PeerSettings settings, PeerLink link) {
        super(settings);
        this.link = link;
    }

    @Override
    void opened() {
        writeHandshake(new Handshake.Hello(settings().memberId(), nonce).encode());
    }

    @Override
    void handshake(byte[] message) {
        Handshake.Challenge challenge = Handshake.Challenge.decode(message);
        Handshake values = new Handshake(settings().memberId(), challenge.memberId(), nonce, challenge.nonce());
        byte[] secret = settings().secret();
        if (!Handshake.matches(values.serverProof(secret), challenge.proof())) {
            reject(new FrameException("server did not prove the shared secret"));
            return;
        }
        writeHandshake(new Handshake.Proof(values.clientProof(secret)).encode());
        finishHandshake(challenge.memberId(), values.seal(secret, true));
    }

    @Override
    void authenticated() {
        link.opened(this);
    }

    @Override
    void received(Frame frame) {
        if (frame.kind() == FrameKind.ANSWER) {
            link.answered(frame.number(), frame.message());
        } else {
            rejectMalformed(new FrameException("frame.kind is no answer, but messages go the other way"));
        }
    }

    @Override
    void closed(Optional<Throwable> cause) {
        link.lost(cause);
    }
}
