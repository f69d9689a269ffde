package org.snipewind.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against bytes of a peer that are taken for the answer to another call: copies, parts and answers from before a
 * restart. The peer is a raw socket, to send what {@link PeerServer} never sends.
 */
@Timeout(30)
class PeerAnswersTest {

    private static final byte[] SECRET = "a secret of the fleet".getBytes(StandardCharsets.UTF_8);
    private static final long LONG_TIMEOUT_MILLIS = 10_000;

    private final RecordingCounters counters = new RecordingCounters();
    private final NettyPeerConnections client = new NettyPeerConnections(
            PeerSettings.of("client-1", "127.0.0.1", 0, SECRET).withCounters(counters));
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        listener.close();
    }

    /** The server's side of a connection. */
    private final class Connection implements AutoCloseable {
        private final Socket socket = listener.accept();
        private final DataInputStream in = new DataInputStream(socket.getInputStream());
        private final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        private final FrameAuthenticator authenticator;

        Connection() throws IOException {
            Handshake.Hello hello = Handshake.Hello.decode(read());
            Handshake handshake = new Handshake(hello.memberId(), "server-1", hello.nonce(), Handshake.newNonce());
            write(new Handshake.Challenge("server-1", handshake.serverNonce(), handshake.serverProof(SECRET)).encode());
            read();
            authenticator = handshake.newFrameAuthenticator(SECRET, false);
        }

        byte[] read() throws IOException {
            return in.readNBytes(in.readInt());
        }

        Frame readCall() throws IOException {
            byte[] bytes = read();
            assertThat(authenticator.verify(bytes)).isTrue();
            return Frame.decode(bytes, bytes.length - FrameAuthenticator.TAG_BYTES);
        }

        byte[] answerTo(Frame call, String text) {
            return RawPeer.appendTag(
                    authenticator,
                    new Frame(FrameKind.ANSWER, call.number(), "server-1", new RecordFetch(text)).encode());
        }

        void write(byte[] content) throws IOException {
            out.writeInt(content.length);
            out.write(content);
            out.flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private CompletableFuture<PeerMessage> call(String target) {
        return client.call("127.0.0.1:" + listener.getLocalPort(), new LoadProbe(target), LONG_TIMEOUT_MILLIS);
    }

    @Test
    void aSecondAnswerToACallIsNoAnswerToTheNextOne() throws Exception {
        CompletableFuture<PeerMessage> first = call("first");
        try (Connection connection = new Connection()) {
            Frame firstCall = connection.readCall();
            connection.write(connection.answerTo(firstCall, "first"));
            assertThat(first.get()).isEqualTo(new RecordFetch("first"));
            CompletableFuture<PeerMessage> second = call("second");
            Frame secondCall = connection.readCall();
            connection.write(connection.answerTo(firstCall, "copy"));
            counters.await(PeerEvent.UNKNOWN_ANSWER, 1);
            assertThat(second.isDone()).isFalse();
            connection.write(connection.answerTo(secondCall, "second"));
            assertThat(second.get()).isEqualTo(new RecordFetch("second"));
        }
    }

    @Test
    void aCopyOfAFrameEndsItsConnection() throws Exception {
        CompletableFuture<PeerMessage> first = call("first");
        try (Connection connection = new Connection()) {
            byte[] answer = connection.answerTo(connection.readCall(), "first");
            connection.write(answer);
            assertThat(first.get()).isEqualTo(new RecordFetch("first"));
            CompletableFuture<PeerMessage> second = call("second");
            connection.readCall();
            connection.write(answer);
            assertThat(failureOf(second).isPossiblySent()).isTrue();
            assertThat(counters.count(PeerEvent.FRAME_UNAUTHENTICATED)).isEqualTo(1);
        }
    }

    /** The rest of the first frame is missing, so it takes in a part of the second one. */
    @Test
    void aFrameThatIsBrokenOffIsNoAnswerAndHidesNone() throws Exception {
        for (int kept : new int[] {0, 1, 20}) {
            CompletableFuture<PeerMessage> call = callOnceConnected("call");
            try (Connection connection = new Connection()) {
                Frame received = connection.readCall();
                byte[] answer = connection.answerTo(received, "cut");
                connection.out.writeInt(answer.length);
                connection.out.write(answer, 0, kept);
                connection.write(connection.answerTo(received, "second"));
                assertThat(failureOf(call).isPossiblySent()).isTrue();
            }
        }
    }

    @Test
    void anAnswerInPiecesIsRead() throws Exception {
        CompletableFuture<PeerMessage> call = call("call");
        try (Connection connection = new Connection()) {
            byte[] answer = connection.answerTo(connection.readCall(), "whole");
            connection.out.writeInt(answer.length);
            for (byte each : answer) {
                connection.out.write(each);
                connection.out.flush();
            }
            assertThat(call.get()).isEqualTo(new RecordFetch("whole"));
        }
    }

    /** A restarted peer has no number of a call of before, but another process may repeat one. */
    @Test
    void anAnswerToACallFromBeforeARestartIsNoAnswer() throws Exception {
        CompletableFuture<PeerMessage> before = call("before");
        Frame lost;
        try (Connection connection = new Connection()) {
            lost = connection.readCall();
        }
        assertThat(failureOf(before).isPossiblySent()).isTrue();
        CompletableFuture<PeerMessage> after = callOnceConnected("after");
        try (Connection restarted = new Connection()) {
            Frame received = restarted.readCall();
            assertThat(received.number()).isNotEqualTo(lost.number());
            restarted.write(restarted.answerTo(lost, "before"));
            counters.await(PeerEvent.UNKNOWN_ANSWER, 1);
            assertThat(after.isDone()).isFalse();
            restarted.write(restarted.answerTo(received, "after"));
            assertThat(after.get()).isEqualTo(new RecordFetch("after"));
        }
    }

    /** Calls until the backoff after a lost connection has ended, in which calls fail at once. */
    private CompletableFuture<PeerMessage> callOnceConnected(String target) throws InterruptedException {
        while (true) {
            CompletableFuture<PeerMessage> call = call(target);
            Thread.sleep(20);
            if (!call.isCompletedExceptionally()) {
                return call;
            }
        }
    }

    private static PeerException failureOf(CompletableFuture<PeerMessage> call) {
        return (PeerException) assertThrows(ExecutionException.class, call::get).getCause();
    }
}
