package org.snipewind.protocol;

/** Reports a frame or message that breaks the wire format. */
public final class FrameException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the message kind, the field and what is wrong with it
     */
    public FrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message the message kind, the field and what is wrong with it
     * @param cause the failure of the decoder or encoder
     */
    public FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
