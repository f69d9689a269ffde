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
    private static final long LONG_MILLIS = 20_000;

    /** A call that the handler has received and that the test answers. */
    private record Received(PeerMessage message, CompletableFuture<Optional<PeerMessage>> answer) {}

    private final RecordingCounters serverCounters = new RecordingCounters();
    private final RecordingCounters clientCounters = new RecordingCounters();
    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final PeerServer server =
            new PeerServer(settings("server-1", SECRET, serverCounters), (sender, message) -> {
                if (message instanceof LoadProbe probe && probe.target().equals("fail")) {
                    throw new IllegalStateException("failing as the test asks");
                }
                CompletableFuture<Optional<PeerMessage>> answer = new CompletableFuture<>();
                received.add(new Received(message, answer));
                return answer;
            });
    private final InetSocketAddress listening = server.start();
    private final String address = "127.0.0.1:" + listening.getPort();
    private final NettyPeerConnections client = new NettyPeerConnections(settings("client-1", SECRET, clientCounters));

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    // Guards against answers matched by order instead of by number (P7).
    @Test
    void answersInAnotherOrderReachTheirOwnCalls() throws Exception {
        List<CompletableFuture<PeerMessage>> calls = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            calls.add(client.call(address, new LoadProbe("target-" + index), LONG_MILLIS));
        }
        List<Received> arrived = new ArrayList<>();
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

    // Guards against a late answer that completes a later call (P7).
    @Test
    void aLateAnswerIsDroppedAndCounted() throws Exception {
        // With the connection open, the next call is written before its timeout, however slow the machine is.
        CompletableFuture<PeerMessage> first = client.call(address, new LoadProbe("first"), LONG_MILLIS);
        echo(received.take());
        assertThat(first.get()).isEqualTo(new RecordFetch("first"));
        CompletableFuture<PeerMessage> slow = client.call(address, new LoadProbe("slow"), 50);
        Received late = received.take();
        assertThat(failureOf(slow).wasSent()).isTrue();
        CompletableFuture<PeerMessage> next = client.call(address, new LoadProbe("next"), LONG_MILLIS);
        Received current = received.take();
        echo(late);
        clientCounters.await(PeerEvent.LATE_ANSWER, 1);
        assertThat(next.isDone()).isFalse();
        echo(current);
        assertThat(next.get()).isEqualTo(new RecordFetch("next"));
    }

    // Guards against a failed handler that ends the connection, on which other calls are in flight.
    @Test
    void aFailingHandlerLeavesOnlyItsOwnCallUnanswered() throws Exception {
        CompletableFuture<PeerMessage> failing = client.call(address, new LoadProbe("fail"), LONG_MILLIS);
        CompletableFuture<PeerMessage> other = client.call(address, new LoadProbe("other"), LONG_MILLIS);
        serverCounters.await(PeerEvent.HANDLER_FAILED, 1);
        echo(received.take());
        assertThat(other.get()).isEqualTo(new RecordFetch("other"));
        assertThat(failing.isDone()).isFalse();
    }

    // Guards against a loss in flight that is reported as not sent, which would allow a second run (P8, P9).
    @Test
    void aLostConnectionFailsItsCallsAsSentAndIsOpenedAgain() throws Exception {
        CompletableFuture<PeerMessage> call = client.call(address, new LoadProbe("lost"), LONG_MILLIS);
        received.take();
        server.close();
        assertThat(failureOf(call).wasSent()).isTrue();
        clientCounters.await(PeerEvent.CONNECTION_LOST, 1);

        PeerSettings again = PeerSettings.of("server-2", "127.0.0.1", listening.getPort(), SECRET);
        try (PeerServer restarted =
                new PeerServer(again, (sender, message) -> CompletableFuture.completedFuture(Optional.of(message)))) {
            restarted.start();
            PeerMessage answer = null;
            while (answer == null) {
                try {
                    answer = client.call(address, new LoadProbe("again"), LONG_MILLIS)
                            .get();
                } catch (ExecutionException e) {
                    // During the backoff a call fails at once, and nothing of it has left.
                    assertThat(((PeerException) e.getCause()).wasSent()).isFalse();
                    Thread.onSpinWait();
                }
            }
            assertThat(answer).isEqualTo(new LoadProbe("again"));
            assertThat(client.peerIdOf(address)).hasValue("server-2");
        }
    }

    // Guards against a refused connection that makes a request count as possibly run.
    @Test
    void aRefusedConnectionFailsAsNotSent() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0)) {
            port = unused.getLocalPort();
        }
        PeerException failure = failureOf(client.call("127.0.0.1:" + port, new LoadProbe("target"), LONG_MILLIS));
        assertThat(failure.wasSent()).isFalse();
        assertThat(failureOf(client.call("no address", new LoadProbe("target"), LONG_MILLIS))
                        .wasSent())
                .isFalse();
    }

    @Test
    void aWrongSecretIsRefusedByBothSidesAndReachesNoHandler() throws Exception {
        RecordingCounters counters = new RecordingCounters();
        try (NettyPeerConnections stranger = new NettyPeerConnections(settings("stranger", OTHER_SECRET, counters));
                RawPeer raw = new RawPeer(listening)) {
            assertThat(failureOf(stranger.call(address, new LoadProbe("target"), LONG_MILLIS))
                            .wasSent())
                    .isFalse();
            counters.await(PeerEvent.HANDSHAKE_FAILED, 1);
            // The raw peer ignores the server's wrong proof, so that the server has to refuse it.
            FrameSeal seal = raw.handshake(OTHER_SECRET);
            raw.write(RawPeer.sealed(seal, RawPeer.frame(new LoadProbe("target"))));
            assertThat(raw.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.HANDSHAKE_FAILED, 2);
        }
        assertThat(received).isEmpty();
    }

    @Test
    void aFrameFromAnUnauthenticatedPeerIsRefused() throws Exception {
        try (RawPeer raw = new RawPeer(listening)) {
            raw.write(RawPeer.frame(new LoadProbe("target")));
            assertThat(raw.isClosedByServer()).isTrue();
        }
        serverCounters.await(PeerEvent.FRAME_UNAUTHENTICATED, 1);
        assertThat(received).isEmpty();
    }

    // Guards against connections that are opened and left silent, which would use up the limit for good.
    @Test
    void aSilentConnectionIsClosedByTheDeadlineOfTheHandshake() throws Exception {
        PeerSettings hasty =
                settings("server-2", SECRET, clientCounters).withLimits(new PeerLimits(1_000, 50, 10, 1_000_000, 1, 1));
        try (PeerServer limited = new PeerServer(hasty, (sender, message) -> new CompletableFuture<>());
                RawPeer silent = new RawPeer(limited.start())) {
            assertThat(silent.isClosedByServer()).isTrue();
            clientCounters.await(PeerEvent.HANDSHAKE_FAILED, 1);
        }
    }

    @Test
    void aConnectionAboveTheLimitOfUnauthenticatedOnesIsClosedAtOnce() throws Exception {
        PeerSettings tight = settings("server-2", SECRET, clientCounters)
                .withLimits(new PeerLimits(1_000, 25_000, 1, 1_000_000, 1, 1));
        try (PeerServer limited = new PeerServer(tight, (sender, message) -> new CompletableFuture<>())) {
            InetSocketAddress limitedAddress = limited.start();
            try (RawPeer first = new RawPeer(limitedAddress)) {
                // The challenge shows that the server has counted the first connection.
                first.write(new Handshake.Hello("raw-1", Handshake.newNonce()).encode());
                assertThat(first.read()).isNotEmpty();
                try (RawPeer second = new RawPeer(limitedAddress)) {
                    assertThat(second.isClosedByServer()).isTrue();
                }
                assertThat(clientCounters.count(PeerEvent.HANDSHAKE_LIMIT)).isEqualTo(1);
            }
        }
    }

    // Guards against a certificate that is not checked against the host, and an own close that counts as a loss.
    @Test
    void messagesPassOverTlsAndAnOwnCloseIsNoLoss() throws Exception {
        SslContext serverTls = SslContextBuilder.forServer(resource("test-certificate.pem"), resource("test-key.pem"))
                .build();
        SslContext clientTls = SslContextBuilder.forClient()
                .trustManager(resource("test-certificate.pem"))
                .build();
        PeerSettings secured = settings("secured-1", SECRET, clientCounters).withTls(serverTls, clientTls);
        try (PeerServer tlsServer = new PeerServer(
                secured.withCounters(serverCounters),
                (sender, message) -> CompletableFuture.completedFuture(Optional.of(new RecordFetch(sender))))) {
            String tlsAddress = "127.0.0.1:" + tlsServer.start().getPort();
            try (NettyPeerConnections tlsClient = new NettyPeerConnections(secured)) {
                PeerMessage answer = tlsClient
                        .call(tlsAddress, new LoadProbe("target"), LONG_MILLIS)
                        .get();
                assertThat(answer).isEqualTo(new RecordFetch("secured-1"));
                assertThat(failureOf(client.call(tlsAddress, new LoadProbe("plain"), LONG_MILLIS))
                                .wasSent())
                        .isFalse();
            }
            serverCounters.await(PeerEvent.CONNECTION_LOST, 1);
            assertThat(clientCounters.count(PeerEvent.CONNECTION_LOST)).isEqualTo(0);
        }
    }

    // Guards against a recorded frame that takes effect twice.
    @Test
    void aReplayedFrameClosesTheConnection() throws Exception {
        try (RawPeer raw = new RawPeer(listening)) {
            byte[] sealed = RawPeer.sealed(raw.handshake(SECRET), RawPeer.frame(new LoadProbe("target")));
            raw.write(sealed);
            raw.write(sealed);
            assertThat(raw.isClosedByServer()).isTrue();
        }
        assertThat(serverCounters.count(PeerEvent.FRAME_UNAUTHENTICATED)).isEqualTo(1);
        assertThat(received).hasSize(1);
    }

    @Test
    void badFramesCloseOnlyTheirOwnConnectionAndAreCounted() throws Exception {
        CompletableFuture<PeerMessage> good = client.call(address, new LoadProbe("good"), LONG_MILLIS);
        Received pending = received.take();
        try (RawPeer oversized = new RawPeer(listening);
                RawPeer early = new RawPeer(listening);
                RawPeer malformed = new RawPeer(listening);
                RawPeer truncated = new RawPeer(listening)) {
            oversized.handshake(SECRET);
            oversized.writeLength(Frame.MAX_BYTES + 1);
            assertThat(oversized.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.FRAME_OVERSIZED, 1);
            early.writeLength(Handshake.MAX_BYTES + 1);
            assertThat(early.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.FRAME_OVERSIZED, 2);
            malformed.write(RawPeer.sealed(malformed.handshake(SECRET), new byte[] {1, 2, 3}));
            assertThat(malformed.isClosedByServer()).isTrue();
            serverCounters.await(PeerEvent.FRAME_MALFORMED, 1);
            truncated.handshake(SECRET);
            truncated.writeLength(100);
        }
        serverCounters.await(PeerEvent.FRAME_TRUNCATED, 1);
        assertThat(good.isDone()).isFalse();
        echo(pending);
        assertThat(good.get()).isEqualTo(new RecordFetch("good"));
        assertThat(clientCounters.count(PeerEvent.CONNECTION_LOST)).isEqualTo(0);
    }

    // Guards against a message that grows without limit, and against forwarded bytes counted as control traffic.
    @Test
    void aMessageAboveTheLimitIsNotSentAndForwardedBytesAreCountedApart() throws Exception {
        ForwardAnswer large = new ForwardAnswer("id", Optional.empty(), 200, Map.of(), new byte[Frame.MAX_BYTES]);
        assertThat(failureOf(client.call(address, large, LONG_MILLIS)).wasSent())
                .isFalse();
        client.send(address, new ForwardAnswer("id", Optional.empty(), 200, Map.of(), new byte[100_000]));
        received.take();
        assertThat(serverCounters.count(PeerEvent.BYTES_RECEIVED_FORWARDING)).isAtLeast(100_000L);
        assertThat(serverCounters.count(PeerEvent.BYTES_RECEIVED_CONTROL)).isLessThan(1_000L);
    }

    // Guards against memory that grows with each call to a peer that reads nothing.
    @Test
    void aCallAboveTheLimitOfUnsentBytesFailsAsNotSent() throws Exception {
        PeerSettings tight = settings("client-2", SECRET, clientCounters)
                .withLimits(new PeerLimits(1_000, 20_000, 1, 100_000, 1, 1));
        try (ServerSocket silent = new ServerSocket(0);
                NettyPeerConnections limited = new NettyPeerConnections(tight)) {
            String silentAddress = "127.0.0.1:" + silent.getLocalPort();
            RecordPush push = new RecordPush("record", 1, new byte[60_000]);
            CompletableFuture<PeerMessage> first = limited.call(silentAddress, push, LONG_MILLIS);
            assertThat(failureOf(limited.call(silentAddress, push, LONG_MILLIS)).wasSent())
                    .isFalse();
            assertThat(first.isDone()).isFalse();
            assertThat(clientCounters.count(PeerEvent.SEND_LIMIT)).isEqualTo(1);
        }
    }

    @Test
    void aFilteredLinkDropsMessagesUntilItIsAllowedAgain() throws Exception {
        AtomicBoolean allowed = new AtomicBoolean();
        PeerSettings filtered = settings("client-2", SECRET, clientCounters).withLinkFilter(peer -> allowed.get());
        try (NettyPeerConnections partitioned = new NettyPeerConnections(filtered)) {
            CompletableFuture<PeerMessage> call = partitioned.call(address, new LoadProbe("target"), 50);
            assertThat(failureOf(call).wasSent()).isFalse();
            assertThat(received).isEmpty();
            allowed.set(true);
            CompletableFuture<PeerMessage> next = partitioned.call(address, new LoadProbe("next"), LONG_MILLIS);
            echo(received.take());
            assertThat(next.get()).isEqualTo(new RecordFetch("next"));
        }
    }

    private static PeerSettings settings(String memberId, byte[] secret, PeerCounters counters) {
        return PeerSettings.of(memberId, "127.0.0.1", 0, secret).withCounters(counters);
    }

    private static void echo(Received call) {
        call.answer().complete(Optional.of(new RecordFetch(((LoadProbe) call.message()).target())));
    }

    private static InputStream resource(String name) {
        return PeerConnectionsTest.class.getResourceAsStream(name);
    }

    private static PeerException failureOf(CompletableFuture<PeerMessage> call) {
        return (PeerException) assertThrows(ExecutionException.class, call::get).getCause();
    }
}
