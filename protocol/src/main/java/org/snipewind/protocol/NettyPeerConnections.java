package org.snipewind.protocol;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;

/** Connections to peers over TCP, one for each address, with many calls in flight on each. */
public final class NettyPeerConnections implements PeerConnections {

    private final PeerSettings settings;
    private final EventLoops loops;
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    // One sequence for all connections, so that an answer can't match a call of another connection.
    private final AtomicLong numbers = new AtomicLong();
    private volatile boolean closed;

    /**
     * Creates connections; none is opened before its first use.
     *
     * @param settings own member id, secret, TLS, event loops and limits
     */
    public NettyPeerConnections(PeerSettings settings) {
        this.settings = settings;
        this.loops = new EventLoops(settings, "snipewind-peer-client");
    }

    @Override
    public CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis) {
        return submit(address, FrameKind.CALL, message, timeoutMillis);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // A one-way message reports no outcome.
    public void send(String address, PeerMessage message) {
        submit(address, FrameKind.ONE_WAY, message, 0);
    }

    /**
     * Tells which member answered the newest handshake at an address.
     *
     * @param address host and port of the peer
     * @return the member id, empty before the first handshake
     */
    public Optional<String> peerIdOf(String address) {
        return Optional.ofNullable(links.get(address)).flatMap(PeerLink::peerId);
    }

    @Override
    public void close() {
        closed = true;
        for (PeerLink link : links.values()) {
            link.loop().execute(link::close);
        }
        loops.close();
    }

    private CompletableFuture<PeerMessage> submit(
            String address, FrameKind kind, PeerMessage message, long timeoutMillis) {
        OutboundCall call;
        try {
            call = new OutboundCall(new Frame(kind, numbers.incrementAndGet(), settings.memberId(), message));
        } catch (FrameException e) {
            return CompletableFuture.failedFuture(new PeerException(e.getMessage(), false, e));
        }
        if (closed) {
            call.fail("connections are closed", false, null);
            return call.answer();
        }
        PeerLink link = links.computeIfAbsent(
                address, key -> new PeerLink(key, settings, loops.group().next()));
        try {
            link.loop().execute(() -> {
                // A link that was added while the connections were being closed closes itself.
                if (closed) {
                    link.close();
                }
                link.submit(call, timeoutMillis);
            });
        } catch (RejectedExecutionException e) {
            call.fail("connections are closed", false, e);
        }
        return call.answer();
    }
}
