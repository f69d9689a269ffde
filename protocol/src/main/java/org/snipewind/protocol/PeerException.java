package org.snipewind.protocol;

/** Thrown when a call to a peer ends without an answer. */
public final class PeerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean possiblySent;

    /**
     * Creates an exception.
     *
     * @param message what was attempted and why it failed
     * @param possiblySent whether any byte of the message may have been sent
     * @param cause the failure of the transport, or null
     */
    public PeerException(String message, boolean possiblySent, Throwable cause) {
        super(message, cause);
        this.possiblySent = possiblySent;
    }

    /**
     * Returns whether the peer may have received the message.
     *
     * @return true if any byte of the message may have been sent
     */
    public boolean isPossiblySent() {
        return possiblySent;
    }
}
