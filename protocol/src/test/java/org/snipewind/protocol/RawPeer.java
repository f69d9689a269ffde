package org.snipewind.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that writes arbitrary bytes, to send what {@link NettyPeerConnections} never sends. */
final class RawPeer implements AutoCloseable {

    private static final String MEMBER_ID = "raw-1";

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    RawPeer(InetSocketAddress server) throws IOException {
        socket = new Socket(server.getAddress(), server.getPort());
        // Ends the test if the server neither answers nor closes the connection.
        socket.setSoTimeout(10_000);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** Performs a handshake with a secret and returns what authenticates the frames that follow. */
    FrameAuthenticator handshake(byte[] secret) throws IOException {
        byte[] nonce = Handshake.newNonce();
        write(new Handshake.Hello(MEMBER_ID, nonce).encode());
        Handshake.Challenge challenge = Handshake.Challenge.decode(read());
        Handshake handshake = new Handshake(MEMBER_ID, challenge.memberId(), nonce, challenge.nonce());
        write(new Handshake.Proof(handshake.clientProof(secret)).encode());
        return handshake.newFrameAuthenticator(secret, true);
    }

    static byte[] encodeCall(PeerMessage message) {
        return new Frame(FrameKind.CALL, 1, MEMBER_ID, message).encode();
    }

    static byte[] appendTag(FrameAuthenticator authenticator, byte[] body) {
        byte[] tag = authenticator.nextTag(body);
        byte[] frame = new byte[body.length + tag.length];
        System.arraycopy(body, 0, frame, 0, body.length);
        System.arraycopy(tag, 0, frame, body.length, tag.length);
        return frame;
    }

    void write(byte[] content) throws IOException {
        writeLength(content.length);
        out.write(content);
        out.flush();
    }

    void writeLength(int length) throws IOException {
        out.writeInt(length);
        out.flush();
    }

    byte[] read() throws IOException {
        return in.readNBytes(in.readInt());
    }

    /** Waits until the server closes the connection, and returns false if it does not in time. */
    boolean isClosedByServer() {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
