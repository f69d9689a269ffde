package org.snipewind.daemon.record;

/** Reports a write that may have taken effect or may still do so. */
final class UncertainWriteException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    UncertainWriteException(String message) {
        super(message);
    }
}
