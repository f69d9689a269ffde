package org.snipewind.protocol;

/** Reports that a call to a peer brought no answer. */
public final class PeerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an exception.
     *
     * @param message what was tried and what happened
     * @param sent whether any byte of the message may have left
     * @param cause the failure of the transport, may be null
     */
    public PeerException(String message, boolean sent, Throwable cause) {
        super(message, cause);
        this.sent = sent;
    }

    /**
     * Tells whether the peer may have received the message.
     *
     * @return true if any byte of the message may have left
     */
    public boolean wasSent() {
        return sent;
    }
}
