package org.snipewind.protocol;

import java.util.concurrent.CompletableFuture;

/** Connections to peers; a connection is opened on first use and again after a loss. */
public interface PeerConnections extends AutoCloseable {

    /**
     * Sends a message and waits for its answer.
     *
     * @param address host and port of the peer
     * @param message the message
     * @param timeoutMillis longest wait in milliseconds
     * @return the answer; fails with {@link PeerException} if there is none
     */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis);

    /**
     * Sends a message that has no answer, as far as a connection can be had.
     *
     * @param address host and port of the peer
     * @param message the message
     */
    void send(String address, PeerMessage message);

    @Override
    void close();
}
