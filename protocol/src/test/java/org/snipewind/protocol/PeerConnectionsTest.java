package org.snipewind.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PeerConnectionsTest {

    private static final byte[] SECRET = "a secret of the fleet".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_SECRET = "a secret of elsewhere".getBytes(StandardCharsets.UTF_8);
    private static final long LONG_TIMEOUT_MILLIS = 20_000;

    /** A call that the handler has received and that the test answers. */
    private record ReceivedCall(PeerMessage message, CompletableFuture<Optional<PeerMessage>> answer) {}

    private final RecordingCounters serverCounters = new RecordingCounters();
    private final RecordingCounters clientCounters = new RecordingCounters();
    private final BlockingQueue<ReceivedCall> received = new LinkedBlockingQueue<>();
    private final PeerServer server =
            new PeerServer(settings("server-1", SECRET, serverCounters), (sender, message) -> {
                if (message instanceof LoadProbe probe && probe.target().equals("fail")) {
                    throw new IllegalStateException("failure requested by the test");
                }
                CompletableFuture<Optional<PeerMessage>> answer = new CompletableFuture<>();
                received.add(new ReceivedCall(message, answer));
                return answer;
            });
    private final InetSocketAddress serverAddress = server.start();
    private final String address = "127.0.0.1:" + serverAddress.getPort();
    private final NettyPeerConnections client = new NettyPeerConnections(settings("client-1", SECRET, clientCounters));

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    // Guards against answers that are matched to calls by their order. An answer must complete the call whose number it
    // repeats, and no other.
    @Test
    void answersInAnotherOrderReachTheirOwnCalls() throws Exception {
        List<CompletableFuture<PeerMessage>> calls = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            calls.add(client.call(address, new LoadProbe("target-" + index), LONG_TIMEOUT_MILLIS));
        }
        List<ReceivedCall> arrived = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            arrived.add(received.take());
        }
        Collections.reverse(arrived);
        arrived.forEach(PeerConnectionsTest::echo);
        for (int index = 0; index < 50; index++) {
            assertThat(calls.get(index).get()).isEqualTo(new RecordFetch("target-" + index));
        }
        assertThat(client.peerIdOf(address)).hasValue("server-1");
    }

    // Guards against an answer that arrives after the timeout of its call and completes a later call.
    @Test
    void aLateAnswerIsDroppedAndCounted() throws Exception {
        // With the connection open, the next call is written before its timeout, however slow the machine is.
        CompletableFuture<PeerMessage> first = client.call(address, new LoadProbe("first"), LONG_TIMEOUT_MILLIS);
        echo(received.take());
        assertThat(first.get()).isEqualTo(new RecordFetch("first"));
        CompletableFuture<PeerMessage> slow = client.call(address, new LoadProbe("slow"), 50);
        ReceivedCall late = received.take();
        assertThat(failureOf(slow).isPossiblySent()).isTrue();
        CompletableFuture<PeerMessage> next = client.call(address, new LoadProbe("next"), LONG_TIMEOUT_MILLIS);
        ReceivedCall current = received.take();
        echo(late);
        clientCounters.await(PeerEvent.LATE_ANSWER, 1);
        assertThat(next.isDone()).isFalse();
        echo(current);
        assertThat(next.get()).isEqualTo(new RecordFetch("next"));
    }

    // Guards against a failure of the handler that closes the connection, on which other calls are in flight.
    @Test
    void aFailingHandlerLeavesOnlyItsOwnCallUnanswered() throws Exception {
        CompletableFuture<PeerMessage> failing = client.call(address, new LoadProbe("fail"), LONG_TIMEOUT_MILLIS);
        CompletableFuture<PeerMessage> other = client.call(address, new LoadProbe("other"), LONG_TIMEOUT_MILLIS);
        serverCounters.await(PeerEvent.HANDLER_FAILED, 1);
        echo(received.take());
        assertThat(other.get()).isEqualTo(new RecordFetch("other"));
        assertThat(failing.isDone()).isFalse();
    }

    // Guards against a call that is reported as not sent although it was in flight when its connection was lost. The
    // request in it could then be sent again and run twice.
    @Test
    void aLostConnectionFailsItsCallsAsSentAndIsOpenedAgain() throws Exception {
        CompletableFuture<PeerMessage> call = client.call(address, new LoadProbe("lost"), LONG_TIMEOUT_MILLIS);
        received.take();
        server.close();
        assertThat(failureOf(call).isPossiblySent()).isTrue();
        clientCounters.await(PeerEvent.CONNECTION_LOST, 1);

        PeerSettings restartedSettings = PeerSettings.of("server-2", "127.0.0.1", serverAddress.getPort(), SECRET);
        try (PeerServer restarted = new PeerServer(
                restartedSettings, (sender, message) -> CompletableFuture.completedFuture(Optional.of(message)))) {
            restarted.start();
            PeerMessage answer = null;
            while (answer == null) {
                try {
                    answer = client.call(address, new LoadProbe("again"), LONG_TIMEOUT_MILLIS)
                            .get();
                } catch (ExecutionException e) {
                    // During the backoff, a call fails at once and no byte of it is sent.
                    assertThat(((PeerException) e.getCause()).isPossiblySent()).isFalse();
                    Thread.onSpinWait();
                }
            }
            assertThat(answer).isEqualTo(new LoadProbe("again"));
            assertThat(client.peerIdOf(address)).hasValue("server-2");
        }
    }

    // Guards against a call that is reported as possibly sent although its connection was refused. Its request
    // could then not be retried, although it can't have run.
    @Test
    void aRefusedConnectionFailsAsNotSent() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0)) {
            port = unused.getLocalPort();
        }
        PeerException failure =
                failureOf(client.call("127.0.0.1:" + port, new LoadProbe("target"), LONG_TIMEOUT_MILLIS));
        assertThat(failure.isPossiblySent()).isFalse();
        assertThat(failureOf(client.call("no address", new LoadProbe("target"), LONG_TIMEOUT_MILLIS))
                        .isPossiblySent())
                .isFalse();
    }

    @Test
    void aWrongSecretIsRejectedByBothSidesAndReachesNoHandler() throws Exception {
        RecordingCounters counters = new RecordingCounters();
        try (NettyPeerConnections wrongSecret = new NettyPeerConnections(settings("stranger", OTHER_SECRET, counters));
                RawPeer raw = new RawPeer(serverAddress)) {
            assertThat(failureOf(wrongSecret.call(address, new LoadProbe("target"), LONG_TIMEOUT_MILLIS))
                            .isPossiblySent())
                    .isFalse();
            counters.await(PeerEvent.HANDSHAKE_FAILED, 1);
            // The raw peer ignores the wrong proof of the server, so the server has to reject the raw peer's proof.
            FrameAuthenticator authenticator = raw.handshake(OTHER_SECRET);
            raw.write(RawPeer.appendTag(authenticator, RawPeer.encodeCall(new LoadProbe("target"))));
            assertThat(raw.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.HANDSHAKE_FAILED, 2);
        }
        assertThat(received).isEmpty();
    }

    @Test
    void aFrameFromAnUnauthenticatedPeerIsRejected() throws Exception {
        try (RawPeer raw = new RawPeer(serverAddress)) {
            raw.write(RawPeer.encodeCall(new LoadProbe("target")));
            assertThat(raw.isClosedByServer()).isTrue();
        }
        serverCounters.await(PeerEvent.FRAME_UNAUTHENTICATED, 1);
        assertThat(received).isEmpty();
    }

    // Guards against connections on which no handshake takes place: left open, they would use up the limit of
    // unauthenticated connections permanently.
    @Test
    void aConnectionWithoutAHandshakeIsClosedAfterTheHandshakeTimeout() throws Exception {
        PeerSettings shortTimeout =
                settings("server-2", SECRET, clientCounters).withLimits(new PeerLimits(1_000, 50, 10, 1_000_000, 1, 1));
        try (PeerServer limited = new PeerServer(shortTimeout, (sender, message) -> new CompletableFuture<>());
                RawPeer idle = new RawPeer(limited.start())) {
            assertThat(idle.isClosedByServer()).isTrue();
            clientCounters.await(PeerEvent.HANDSHAKE_FAILED, 1);
        }
    }

    @Test
    void aConnectionAboveTheLimitOfUnauthenticatedOnesIsClosedAtOnce() throws Exception {
        PeerSettings lowLimit = settings("server-2", SECRET, clientCounters)
                .withLimits(new PeerLimits(1_000, 25_000, 1, 1_000_000, 1, 1));
        try (PeerServer limited = new PeerServer(lowLimit, (sender, message) -> new CompletableFuture<>())) {
            InetSocketAddress limitedAddress = limited.start();
            try (RawPeer first = new RawPeer(limitedAddress)) {
                // The challenge shows that the server has counted the first connection as unauthenticated.
                first.write(new Handshake.Hello("raw-1", Handshake.newNonce()).encode());
                assertThat(first.read()).isNotEmpty();
                try (RawPeer second = new RawPeer(limitedAddress)) {
                    assertThat(second.isClosedByServer()).isTrue();
                }
                assertThat(clientCounters.count(PeerEvent.HANDSHAKE_LIMIT)).isEqualTo(1);
            }
        }
    }

    // Guards against a certificate that is not checked against the host, and against a connection that this side closed
    // being counted as lost.
    @Test
    void messagesPassOverTlsAndALocalCloseIsNotCountedAsLoss() throws Exception {
        SslContext serverTls = SslContextBuilder.forServer(resource("test-certificate.pem"), resource("test-key.pem"))
                .build();
        SslContext clientTls = SslContextBuilder.forClient()
                .trustManager(resource("test-certificate.pem"))
                .build();
        PeerSettings tlsSettings = settings("secured-1", SECRET, clientCounters).withTls(serverTls, clientTls);
        try (PeerServer tlsServer = new PeerServer(
                tlsSettings.withCounters(serverCounters),
                (sender, message) -> CompletableFuture.completedFuture(Optional.of(new RecordFetch(sender))))) {
            String tlsAddress = "127.0.0.1:" + tlsServer.start().getPort();
            try (NettyPeerConnections tlsClient = new NettyPeerConnections(tlsSettings)) {
                PeerMessage answer = tlsClient
                        .call(tlsAddress, new LoadProbe("target"), LONG_TIMEOUT_MILLIS)
                        .get();
                assertThat(answer).isEqualTo(new RecordFetch("secured-1"));
                assertThat(failureOf(client.call(tlsAddress, new LoadProbe("plain"), LONG_TIMEOUT_MILLIS))
                                .isPossiblySent())
                        .isFalse();
            }
            serverCounters.await(PeerEvent.CONNECTION_LOST, 1);
            assertThat(clientCounters.count(PeerEvent.CONNECTION_LOST)).isEqualTo(0);
        }
    }

    // Guards against a recorded frame that takes effect again when an attacker sends it a second time.
    @Test
    void aReplayedFrameClosesTheConnection() throws Exception {
        try (RawPeer raw = new RawPeer(serverAddress)) {
            byte[] frame = RawPeer.appendTag(raw.handshake(SECRET), RawPeer.encodeCall(new LoadProbe("target")));
            raw.write(frame);
            raw.write(frame);
            assertThat(raw.isClosedByServer()).isTrue();
        }
        assertThat(serverCounters.count(PeerEvent.FRAME_UNAUTHENTICATED)).isEqualTo(1);
        assertThat(received).hasSize(1);
    }

    @Test
    void invalidFramesCloseOnlyTheirOwnConnectionAndAreCounted() throws Exception {
        CompletableFuture<PeerMessage> validCall = client.call(address, new LoadProbe("good"), LONG_TIMEOUT_MILLIS);
        ReceivedCall pending = received.take();
        try (RawPeer oversized = new RawPeer(serverAddress);
                RawPeer oversizedHandshake = new RawPeer(serverAddress);
                RawPeer malformed = new RawPeer(serverAddress);
                RawPeer truncated = new RawPeer(serverAddress)) {
            oversized.handshake(SECRET);
            oversized.writeLength(Frame.MAX_BYTES + 1);
            assertThat(oversized.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.FRAME_OVERSIZED, 1);
            oversizedHandshake.writeLength(Handshake.MAX_BYTES + 1);
            assertThat(oversizedHandshake.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.FRAME_OVERSIZED, 2);
            malformed.write(RawPeer.appendTag(malformed.handshake(SECRET), new byte[] {1, 2, 3}));
            assertThat(malformed.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.FRAME_MALFORMED, 1);
            truncated.handshake(SECRET);
            truncated.writeLength(100);
        }
        serverCounters.await(PeerEvent.FRAME_TRUNCATED, 1);
        assertThat(validCall.isDone()).isFalse();
        echo(pending);
        assertThat(validCall.get()).isEqualTo(new RecordFetch("good"));
        assertThat(clientCounters.count(PeerEvent.CONNECTION_LOST)).isEqualTo(0);
    }

    // Guards against messages of unlimited size, and against forwarded bytes that are counted as control traffic.
    @Test
    void aMessageAboveTheLimitIsNotSentAndForwardedBytesAreCountedSeparately() throws Exception {
        ForwardAnswer oversized = new ForwardAnswer("id", Optional.empty(), 200, Map.of(), new byte[Frame.MAX_BYTES]);
        assertThat(failureOf(client.call(address, oversized, LONG_TIMEOUT_MILLIS))
                        .isPossiblySent())
                .isFalse();
        client.send(address, new ForwardAnswer("id", Optional.empty(), 200, Map.of(), new byte[100_000]));
        received.take();
        assertThat(serverCounters.count(PeerEvent.BYTES_RECEIVED_FORWARDING)).isAtLeast(100_000L);
        assertThat(serverCounters.count(PeerEvent.BYTES_RECEIVED_CONTROL)).isLessThan(1_000L);
    }

    // Guards against memory use that grows with each call to a peer that does not read.
    @Test
    void aCallAboveTheLimitOfUnsentBytesFailsAsNotSent() throws Exception {
        PeerSettings lowLimit = settings("client-2", SECRET, clientCounters)
                .withLimits(new PeerLimits(1_000, 20_000, 1, 100_000, 1, 1));
        try (ServerSocket unresponsive = new ServerSocket(0);
                NettyPeerConnections limited = new NettyPeerConnections(lowLimit)) {
            String unresponsiveAddress = "127.0.0.1:" + unresponsive.getLocalPort();
            RecordPush push = new RecordPush("record", 1, new byte[60_000]);
            CompletableFuture<PeerMessage> first = limited.call(unresponsiveAddress, push, LONG_TIMEOUT_MILLIS);
            assertThat(failureOf(limited.call(unresponsiveAddress, push, LONG_TIMEOUT_MILLIS))
                            .isPossiblySent())
                    .isFalse();
            assertThat(first.isDone()).isFalse();
            assertThat(clientCounters.count(PeerEvent.SEND_LIMIT)).isEqualTo(1);
        }
    }

    @Test
    void aLinkThatTheFilterBlocksDropsMessagesUntilItIsAllowedAgain() throws Exception {
        AtomicBoolean allowed = new AtomicBoolean();
        PeerSettings filtered = settings("client-2", SECRET, clientCounters).withLinkFilter(peer -> allowed.get());
        try (NettyPeerConnections partitioned = new NettyPeerConnections(filtered)) {
            CompletableFuture<PeerMessage> call = partitioned.call(address, new LoadProbe("target"), 50);
            assertThat(failureOf(call).isPossiblySent()).isFalse();
            assertThat(received).isEmpty();
            allowed.set(true);
            CompletableFuture<PeerMessage> next = partitioned.call(address, new LoadProbe("next"), LONG_TIMEOUT_MILLIS);
            echo(received.take());
            assertThat(next.get()).isEqualTo(new RecordFetch("next"));
        }
    }

    private static PeerSettings settings(String memberId, byte[] secret, PeerCounters counters) {
        return PeerSettings.of(memberId, "127.0.0.1", 0, secret).withCounters(counters);
    }

    private static void echo(ReceivedCall call) {
        call.answer().complete(Optional.of(new RecordFetch(((LoadProbe) call.message()).target())));
    }

    private static InputStream resource(String name) {
        return PeerConnectionsTest.class.getResourceAsStream(name);
    }

    private static PeerException failureOf(CompletableFuture<PeerMessage> call) {
        return (PeerException) assertThrows(ExecutionException.class, call::get).getCause();
    }
}
