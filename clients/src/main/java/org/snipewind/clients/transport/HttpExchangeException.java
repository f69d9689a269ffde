package org.snipewind.clients.transport;

import java.util.Optional;

/** Reports how far an HTTP exchange came before it failed. */
public final class HttpExchangeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** How far a failed exchange came. */
    public enum Stage {
        /** All connections were in use, so nothing was sent. */
        NO_CONNECTION,
        /** No byte of the request left this process. */
        NOT_SENT,
        /** The request may have been received and no answer began. */
        NO_ANSWER,
        /** The answer began and its end did not arrive. */
        ANSWER_INCOMPLETE,
        /** The answer exceeded the limit. */
        ANSWER_TOO_LARGE,
        /** The time limit passed; the request may have been received. */
        TIMED_OUT
    }

    private final Stage stage;
    private final transient Optional<HttpAnswer> head;

    /**
     * Creates an exception.
     *
     * @param stage how far the exchange came
     * @param message what happened
     * @param cause the failure of the connection, or null
     */
    public HttpExchangeException(Stage stage, String message, Throwable cause) {
        this(stage, message, cause, Optional.empty());
    }

    /**
     * Creates an exception for an answer that began.
     *
     * @param stage how far the exchange came
     * @param message what happened
     * @param cause the failure of the connection, or null
     * @param head status and headers of the answer without a body
     */
    HttpExchangeException(Stage stage, String message, Throwable cause, Optional<HttpAnswer> head) {
        super(message, cause);
        this.stage = stage;
        this.head = head;
    }

    /**
     * Tells how far the exchange came.
     *
     * @return the stage at which it failed
     */
    public Stage stage() {
        return stage;
    }

    /**
     * Gives status and headers of an answer whose body is not whole.
     *
     * @return the answer with an empty body, or empty if none began
     */
    public Optional<HttpAnswer> head() {
        return head;
    }
}
