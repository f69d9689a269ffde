package org.snipewind.protocol;

/** Thrown for a frame or message that violates the wire format or the handshake. */
public final class FrameException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message type of the message, the field and what is wrong with it
     */
    public FrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message type of the message, the field and what is wrong with it
     * @param cause the failure of the decoder or encoder
     */
    public FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
