package org.snipewind.router.memory;

/**
 * The memory that one connection of a client takes, as part of a {@link ClientMemory}, whose monitor guards all fields.
 */
public final class ConnectionMemory {

    private final ClientMemory account;
    private final Runnable onClose;
    private final Runnable onEndRequests;
    private long heldBytes;
    private long bodyBytes;
    private boolean closable;
    private boolean closing;
    private boolean released;
    private boolean receivingBody;
    private long progressMillis;

    ConnectionMemory(ClientMemory account, Runnable onClose, Runnable onEndRequests) {
        this.account = account;
        this.onClose = onClose;
        this.onEndRequests = onEndRequests;
    }

    /**
     * Sets the memory that the connection takes; if all connections together exceed the budget, some are closed.
     *
     * @param bytes memory for undecoded bytes, heads, trailers, small bodies and small responses
     * @param mayClose whether the client has left a request unfinished or a response unread
     */
    public void update(long bytes, boolean mayClose) {
        synchronized (account) {
            if (released) {
                return;
            }
            account.add(bytes - heldBytes, closing);
            heldBytes = bytes;
            closable = mayClose;
        }
        account.closeExceeding();
    }

    /**
     * Records that bytes of a body have arrived, or that no body is being received any more.
     *
     * @param bytes memory of the body, counted in a budget of its own; 0 if none is being received
     * @param nowMillis current time
     */
    public void bodyReceived(long bytes, long nowMillis) {
        synchronized (account) {
            bodyBytes = bytes;
            receivingBody = bytes > 0;
            progressMillis = nowMillis;
        }
    }

    /** Records that the connection stays open until the requests on it that are being served are answered. */
    public void closeDeferred() {
        synchronized (account) {
            if (closing && !released) {
                closing = false;
                account.closeDeferred(heldBytes);
            }
        }
    }

    /** Ends the account of a closed connection; later updates have no effect on the budget. */
    public void release() {
        synchronized (account) {
            if (!released) {
                released = true;
                account.remove(this);
            }
        }
    }

    /** Returns the memory that counts towards the budget. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns the memory that closing the connection would free. */
    long cost() {
        return heldBytes + bodyBytes;
    }

    boolean mayClose() {
        return closable && !closing;
    }

    boolean isClosing() {
        return closing;
    }

    /** Returns whether a body is being received of which nothing has arrived since a point in time. */
    boolean isStalledSince(long millis) {
        return receivingBody && !closing && progressMillis <= millis;
    }

    void markClosing() {
        closing = true;
    }

    /** Closes the connection, or refuses what is unfinished on it; called without the monitor of the account. */
    void close() {
        onClose.run();
    }

    /** Ends the requests in progress and closes the connection; called without the monitor of the account. */
    void endRequests() {
        onEndRequests.run();
    }
}
