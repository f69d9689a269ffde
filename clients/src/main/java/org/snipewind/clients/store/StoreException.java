package org.snipewind.clients.store;

/** Reports that the store did not answer, so that the effect of a call is not known. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was tried and what happened
     * @param cause the failure of the transport
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
