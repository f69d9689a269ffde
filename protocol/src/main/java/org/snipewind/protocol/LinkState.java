package org.snipewind.protocol;

/** State of the link to one peer address. */
enum LinkState {
    /** No connection; the next message opens one. */
    IDLE,
    /** The connection is being opened or authenticated; messages are queued. */
    CONNECTING,
    /** Both sides have authenticated each other. */
    OPEN,
    /** A connection was lost or refused; messages fail at once until the backoff has passed. */
    BACKOFF,
    /** Closed by this side; no connection is opened again. */
    CLOSED
}
