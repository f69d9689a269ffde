package org.snipewind.router.http;

/** Gets the outcome of an exchange, once, on the connection's event loop. */
public interface ExchangeListener {

    /**
     * Takes the answer.
     *
     * @param answer the whole answer
     */
    void responseReceived(BufferedResponse answer);

    /**
     * Takes a failure; the connection is closed.
     *
     * @param cause what happened and whether the request may have run
     */
    void exchangeFailed(ExchangeException cause);
}
