package org.snipewind.standins.server;

/** The connection of one request, for faults that a whole answer cannot show. */
public interface StandInConnection {

    /** Closes the connection without an answer. */
    void drop();

    /**
     * Sends the head and the first half of an answer and closes the connection.
     *
     * @param answer the answer, with a body of at least one byte
     */
    void sendTruncated(StandInResponse answer);
}
