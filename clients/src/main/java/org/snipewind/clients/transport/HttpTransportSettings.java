package org.snipewind.clients.transport;

/**
 * Limits of an HTTP transport.
 *
 * @param maxConnections maximum number of connections to one address, and of concurrent exchanges to all addresses
 * @param connectTimeoutMillis maximum time to open a connection
 * @param idleTimeoutMillis time after which an unused connection is closed; shorter than that of the server, so that a
 *     request is seldom sent on a connection that the server is closing
 * @param readTimeoutMillis time without a received byte of the response after which a connection is closed
 * @param maxResponseBytes maximum size of a response body
 */
public record HttpTransportSettings(
        int maxConnections,
        long connectTimeoutMillis,
        long idleTimeoutMillis,
        long readTimeoutMillis,
        int maxResponseBytes) {

    /** Default maximum size of a response body: that of a target or a value of the store. */
    public static final int MAX_RESPONSE_BYTES = 1 << 20;

    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 20_000;

    /**
     * Creates settings with the default maximum size of a response body and the default idle timeout.
     *
     * @param maxConnections maximum number of connections to one address, and of concurrent exchanges to all addresses
     * @param connectTimeoutMillis maximum time to open a connection
     * @param readTimeoutMillis time without a received byte of the response after which a connection is closed
     * @return the settings
     */
    public static HttpTransportSettings of(int maxConnections, long connectTimeoutMillis, long readTimeoutMillis) {
        return new HttpTransportSettings(
                maxConnections,
                connectTimeoutMillis,
                DEFAULT_IDLE_TIMEOUT_MILLIS,
                readTimeoutMillis,
                MAX_RESPONSE_BYTES);
    }
}
