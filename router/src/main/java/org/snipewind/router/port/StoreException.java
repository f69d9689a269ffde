package org.snipewind.router.port;

/** A call to the store that did not succeed. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What is known about the call. */
    public enum Kind {
        /** The store refused the call and did nothing. */
        REFUSED,
        /** A condition of a write did not hold; nothing was written. */
        CONFLICT,
        /** The lease of a write or renewal has ended. */
        LEASE_ENDED,
        /** The changes since the revision are not available any more. */
        HISTORY_LOST,
        /** There was no answer; a write may take effect, also later. */
        UNKNOWN
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind what is known
     * @param message what was called and how it failed
     */
    public StoreException(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = kind;
    }

    /**
     * Gives what is known about the call.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Finds what is known about a failed call.
     *
     * @param failure failure of a store call, possibly wrapped
     * @return the kind
     */
    public static Kind kindOf(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof StoreException known) {
                return known.kind();
            }
            cause = cause.getCause();
        }
        return Kind.UNKNOWN;
    }
}
