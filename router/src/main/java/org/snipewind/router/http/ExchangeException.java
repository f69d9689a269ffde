package org.snipewind.router.http;

/** Thrown if an exchange ends without a complete response. */
public final class ExchangeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean possiblySent;
    private final boolean responseUnusable;

    /**
     * Creates an exception.
     *
     * @param message description of the failure
     * @param possiblySent whether bytes of the request may have reached the server
     */
    public ExchangeException(String message, boolean possiblySent) {
        this(message, possiblySent, false);
    }

    private ExchangeException(String message, boolean possiblySent, boolean responseUnusable) {
        super(message, null, false, false);
        this.possiblySent = possiblySent;
        this.responseUnusable = responseUnusable;
    }

    /**
     * Creates an exception for an exchange in which the server responded, but not with a valid response to the request.
     *
     * @param message description of the failure
     * @return the exception; the request may have run
     */
    public static ExchangeException unusableResponse(String message) {
        return new ExchangeException(message, true, true);
    }

    /**
     * Returns whether the request may have been sent and may therefore have run.
     *
     * @return false if no byte of the request was sent
     */
    public boolean isPossiblySent() {
        return possiblySent;
    }

    /**
     * Returns whether the server responded, though not with a valid response to the request.
     *
     * @return false if there was no response, or only a part of one
     */
    public boolean isResponseUnusable() {
        return responseUnusable;
    }
}
