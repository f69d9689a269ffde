package org.snipewind.daemon.record;

/** Thrown when a write may have taken effect or may still take effect. */
final class UnknownWriteOutcomeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    UnknownWriteOutcomeException(String message) {
        super(message);
    }
}
