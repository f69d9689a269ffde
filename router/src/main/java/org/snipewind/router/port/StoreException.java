package org.snipewind.router.port;

/** Thrown if a call to the store fails. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Known effects of a failed call. */
    public enum Kind {
        /** The store rejected the call, which had no effect. */
        REFUSED,
        /** A condition of a write did not hold, and nothing was written. */
        CONFLICT,
        /** The lease that was to be renewed or used by a write has ended. */
        LEASE_ENDED,
        /** The changes since the given revision are no longer available. */
        HISTORY_LOST,
        /** There was no response; a write may have taken effect or may still do so. */
        UNKNOWN
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind known effects of the call
     * @param message description of the call and its failure
     */
    public StoreException(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = kind;
    }

    /**
     * Returns the known effects of the call.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the known effects of a failed call.
     *
     * @param failure failure of a store call, possibly wrapped in other exceptions
     * @return the kind, {@link Kind#UNKNOWN} if the failure has no store exception among its causes
     */
    public static Kind kindOf(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof StoreException storeException) {
                return storeException.kind();
            }
            cause = cause.getCause();
        }
        return Kind.UNKNOWN;
    }
}
