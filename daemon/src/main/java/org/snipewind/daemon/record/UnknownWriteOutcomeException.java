package org.snipewind.daemon.record;

/** Reports a write that may have taken effect or may still do so. */
final class UnknownWriteOutcomeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    UnknownWriteOutcomeException(String message) {
        super(message);
    }
}
