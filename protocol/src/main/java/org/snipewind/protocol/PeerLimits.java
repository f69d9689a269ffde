package org.snipewind.protocol;

/**
 * Limits of the connections to and from peers.
 *
 * @param connectMillis longest time to open a TCP connection
 * @param handshakeMillis longest time from an open TCP connection, with TLS, to the last proof
 * @param unauthenticatedConnections most accepted connections that are not yet authenticated
 * @param unsentBytes bytes waiting on a connection above which messages are refused
 * @param backoffBaseMillis upper bound of the first wait after a loss; it doubles with each further loss
 * @param backoffCapMillis largest upper bound of the wait
 */
public record PeerLimits(
        int connectMillis,
        int handshakeMillis,
        int unauthenticatedConnections,
        int unsentBytes,
        int backoffBaseMillis,
        int backoffCapMillis) {

    /**
     * The limits in use unless others are set. The connect time and the backoff cap are below the 900 ms member lease,
     * so that one lost connection to a witness alone does not end a lease.
     */
    public static final PeerLimits DEFAULT = new PeerLimits(500, 2_000, 256, 8 * 1024 * 1024, 25, 400);

    /** Checks that each limit is positive. */
    public PeerLimits {
        if (Math.min(
                        Math.min(Math.min(connectMillis, handshakeMillis), unauthenticatedConnections),
                        Math.min(Math.min(unsentBytes, backoffBaseMillis), backoffCapMillis))
                <= 0) {
            throw new IllegalArgumentException("each limit must be positive");
        }
    }
}
