package org.snipewind.protocol;

import java.util.concurrent.CompletableFuture;

/** Connections to peers, each opened on first use and reopened after it was lost. */
public interface PeerConnections extends AutoCloseable {

    /**
     * Sends a message and waits for its answer.
     *
     * @param address host and port of the peer
     * @param message the message
     * @param timeoutMillis longest wait for the answer in milliseconds
     * @return the answer; completes exceptionally with {@link PeerException} if there is none
     */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis);

    /**
     * Sends a message that has no answer. It is dropped without notice if it can't be sent.
     *
     * @param address host and port of the peer
     * @param message the message
     */
    void send(String address, PeerMessage message);

    @Override
    void close();
}
