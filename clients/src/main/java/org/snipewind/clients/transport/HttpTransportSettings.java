package org.snipewind.clients.transport;

/**
 * Limits of an HTTP transport.
 *
 * @param connections connections to one address at a time
 * @param connectTimeoutMillis longest time to open a connection
 * @param idleMillis time after which an unused connection is closed; shorter than the other side's own limit, so that
 *     a request seldom meets a connection that is being closed
 * @param longestExchangeMillis time without any byte of an answer after which a connection is closed
 * @param answerBytes largest body of an answer
 */
public record HttpTransportSettings(
        int connections, long connectTimeoutMillis, long idleMillis, long longestExchangeMillis, int answerBytes) {

    /** Largest body of an answer of a target and largest value of the store. */
    public static final int ANSWER_BYTES = 1 << 20;

    private static final long IDLE_MILLIS = 20_000;

    /**
     * Creates settings with the default limits of bodies and unused connections.
     *
     * @param connections connections to one address at a time
     * @param connectTimeoutMillis longest time to open a connection
     * @param longestExchangeMillis time without any byte of an answer after which a connection is closed
     * @return the settings
     */
    public static HttpTransportSettings of(int connections, long connectTimeoutMillis, long longestExchangeMillis) {
        return new HttpTransportSettings(
                connections, connectTimeoutMillis, IDLE_MILLIS, longestExchangeMillis, ANSWER_BYTES);
    }
}
