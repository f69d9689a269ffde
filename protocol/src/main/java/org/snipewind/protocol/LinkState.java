package org.snipewind.protocol;

/** State of the connection to one address. */
enum LinkState {
    /** No connection; the next message opens one. */
    IDLE,
    /** The connection is being opened or authenticated, and messages wait for it. */
    CONNECTING,
    /** Both sides have proved the secret. */
    OPEN,
    /** A connection was lost or refused, and messages fail at once. */
    BACKOFF,
    /** Closed for good. */
    CLOSED
}
