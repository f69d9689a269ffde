package org.snipewind.router.http;

/** An exchange that ended without a whole answer. */
public final class ExchangeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an exception.
     *
     * @param message what happened
     * @param sent whether bytes of the request may have reached the other side
     */
    public ExchangeException(String message, boolean sent) {
        super(message, null, false, false);
        this.sent = sent;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return false if no byte of it was sent
     */
    public boolean isPossiblySent() {
        return sent;
    }
}
