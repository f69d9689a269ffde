package org.snipewind.protocol;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;

/** Connections to peers over TCP: one for each address, shared by concurrent calls. */
public final class NettyPeerConnections implements PeerConnections {

    private final PeerSettings settings;
    private final EventLoops eventLoops;
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    // One sequence for all connections, so that an answer can't be matched to a call on another connection.
    private final AtomicLong lastCallNumber = new AtomicLong();
    private volatile boolean closed;

    /**
     * Creates the connections, of which none is opened before its first use.
     *
     * @param settings this side's member id, secret, TLS, event loops and limits
     */
    public NettyPeerConnections(PeerSettings settings) {
        this.settings = settings;
        this.eventLoops = new EventLoops(settings, "snipewind-peer-client");
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
     * Returns the member that authenticated itself in the latest handshake at an address.
     *
     * @param address host and port of the peer
     * @return the id of the member, empty before the first handshake
     */
    public Optional<String> peerIdOf(String address) {
        return Optional.ofNullable(links.get(address)).flatMap(PeerLink::peerId);
    }

    @Override
    public void close() {
        closed = true;
        for (PeerLink link : links.values()) {
            link.eventLoop().execute(link::close);
        }
        eventLoops.close();
    }

    private CompletableFuture<PeerMessage> submit(
            String address, FrameKind kind, PeerMessage message, long timeoutMillis) {
        OutboundCall call;
        try {
            call = new OutboundCall(new Frame(kind, lastCallNumber.incrementAndGet(), settings.memberId(), message));
        } catch (FrameException e) {
            return CompletableFuture.failedFuture(new PeerException(e.getMessage(), false, e));
        }
        if (closed) {
            call.fail("peer connections are closed", false, null);
            return call.answer();
        }
        PeerLink link = links.computeIfAbsent(
                address, key -> new PeerLink(key, settings, eventLoops.group().next()));
        try {
            link.eventLoop().execute(() -> {
                // close() may have missed a link that was added at the same time.
                if (closed) {
                    link.close();
                }
                link.submit(call, timeoutMillis);
            });
        } catch (RejectedExecutionException e) {
            call.fail("peer connections are closed", false, e);
        }
        return call.answer();
    }
}
