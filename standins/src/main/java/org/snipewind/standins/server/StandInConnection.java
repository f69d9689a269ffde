package org.snipewind.standins.server;

/** The connection of a request, for faults that a complete response can't express. */
public interface StandInConnection {

    /** Closes the connection without a response. */
    void drop();

    /**
     * Sends the status line, a {@code Content-Length} header for the whole body and the first half of the body, then
     * closes the connection.
     *
     * @param response the response, with a body of at least one byte
     */
    void sendTruncated(StandInResponse response);
}
