package org.snipewind.clients.transport;

import java.util.Optional;

/** Thrown when an HTTP exchange fails; states the stage at which it failed. */
public final class HttpExchangeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Stage at which an exchange failed. */
    public enum Stage {
        /** All connections were in use, so nothing was sent. */
        NO_CONNECTION,
        /** No byte of the request left this process. */
        NOT_SENT,
        /** The request may have been received; no response began to arrive. */
        NO_ANSWER,
        /** The response began to arrive and ended early. */
        ANSWER_INCOMPLETE,
        /** The response exceeded the size limit. */
        ANSWER_TOO_LARGE,
        /** The timeout passed; the request may have been received. */
        TIMED_OUT
    }

    private final Stage stage;
    private final transient Optional<BufferedResponse> head;

    /**
     * Creates an exception.
     *
     * @param stage the stage at which the exchange failed
     * @param message what happened
     * @param cause the failure of the connection, or null
     */
    public HttpExchangeException(Stage stage, String message, Throwable cause) {
        this(stage, message, cause, Optional.empty());
    }

    /**
     * Creates an exception for a response that began to arrive.
     *
     * @param stage the stage at which the exchange failed
     * @param message what happened
     * @param cause the failure of the connection, or null
     * @param head status and headers of the response, with an empty body
     */
    HttpExchangeException(Stage stage, String message, Throwable cause, Optional<BufferedResponse> head) {
        super(message, cause);
        this.stage = stage;
        this.head = head;
    }

    /**
     * Returns the stage at which the exchange failed.
     *
     * @return the stage
     */
    public Stage stage() {
        return stage;
    }

    /**
     * Returns the status and headers of a response whose body is incomplete or too large.
     *
     * @return the response with an empty body, or empty if no response began to arrive
     */
    public Optional<BufferedResponse> head() {
        return head;
    }
}
