package org.snipewind.protocol;

/**
 * Limits of the connections to and from peers.
 *
 * @param connectTimeoutMillis timeout for opening a TCP connection
 * @param handshakeTimeoutMillis timeout from the opened TCP connection to the end of the handshake, TLS included
 * @param maxUnauthenticatedConnections largest number of accepted connections that are not yet authenticated
 * @param maxUnsentBytes bytes waiting to be sent on a connection, above which further messages fail; an accepted
 *     connection is not read from meanwhile
 * @param initialBackoffMillis upper bound of the backoff after the first loss; it doubles with each further loss
 * @param maxBackoffMillis largest upper bound of the backoff
 */
public record PeerLimits(
        int connectTimeoutMillis,
        int handshakeTimeoutMillis,
        int maxUnauthenticatedConnections,
        int maxUnsentBytes,
        int initialBackoffMillis,
        int maxBackoffMillis) {

    /**
     * The default limits. The connect timeout and the largest backoff are below the 900 ms of a member lease, so that
     * the loss of one connection to a witness does not by itself end the lease.
     */
    public static final PeerLimits DEFAULT = new PeerLimits(500, 2_000, 256, 8 * 1024 * 1024, 25, 400);

    /** Checks that each limit is positive. */
    public PeerLimits {
        if (Math.min(
                        Math.min(Math.min(connectTimeoutMillis, handshakeTimeoutMillis), maxUnauthenticatedConnections),
                        Math.min(Math.min(maxUnsentBytes, initialBackoffMillis), maxBackoffMillis))
                <= 0) {
            throw new IllegalArgumentException("each limit of the peer connections must be positive");
        }
    }
}
