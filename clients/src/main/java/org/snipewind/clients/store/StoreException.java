package org.snipewind.clients.store;

/** Thrown when the store did not respond, so that the effect of a call is not known, or its response is invalid. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed
     * @param cause the cause, or null
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
