package org.snipewind.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that writes any bytes, to send what {@link NettyPeerConnections} never would. */
final class RawPeer implements AutoCloseable {

    private static final String ID = "raw-1";

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    RawPeer(InetSocketAddress server) throws IOException {
        socket = new Socket(server.getAddress(), server.getPort());
        // Bounds the test if the server neither answers nor closes.
        socket.setSoTimeout(10_000);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** Performs a handshake with this secret and gives the seal of the session. */
    FrameSeal handshake(byte[] secret) throws IOException {
        byte[] nonce = Handshake.newNonce();
        write(new Handshake.Hello(ID, nonce).encode());
        Handshake.Challenge challenge = Handshake.Challenge.decode(read());
        Handshake values = new Handshake(ID, challenge.memberId(), nonce, challenge.nonce());
        write(new Handshake.Proof(values.clientProof(secret)).encode());
        return values.seal(secret, true);
    }

    static byte[] frame(PeerMessage message) {
        return new Frame(FrameKind.CALL, 1, ID, message).encode();
    }

    static byte[] sealed(FrameSeal seal, byte[] body) {
        byte[] tag = seal.seal(body);
        byte[] sealed = new byte[body.length + tag.length];
        System.arraycopy(body, 0, sealed, 0, body.length);
        System.arraycopy(tag, 0, sealed, body.length, tag.length);
        return sealed;
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

    /** Waits until the server has closed the connection. */
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
