package org.snipewind.router.http;

/** Receives the outcome of an exchange exactly once, on the connection's event loop. */
public interface ExchangeListener {

    /**
     * Called with the response.
     *
     * @param response the complete response
     */
    void responseReceived(BufferedResponse response);

    /**
     * Called if the exchange failed; the connection is then closed.
     *
     * @param cause cause of the failure, which also tells whether the request may have run
     */
    void exchangeFailed(ExchangeException cause);
}
