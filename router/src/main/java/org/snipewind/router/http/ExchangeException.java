package org.snipewind.router.http;

/** Thrown if an exchange ends without a complete response. */
public final class ExchangeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean possiblySent;

    /**
     * Creates an exception.
     *
     * @param message description of the failure
     * @param possiblySent whether bytes of the request may have reached the server
     */
    public ExchangeException(String message, boolean possiblySent) {
        super(message, null, false, false);
        this.possiblySent = possiblySent;
    }

    /**
     * Returns whether the request may have been sent and may therefore have run.
     *
     * @return false if no byte of the request was sent
     */
    public boolean isPossiblySent() {
        return possiblySent;
    }
}
