package org.snipewind.coordination.error;

import java.util.Locale;

/** The closed list of error kinds, each with its HTTP status, whether the request ran, and whether a retry may help. */
public enum ErrorKind {
    /** The request line, a header or the body can't be understood. */
    MALFORMED_REQUEST(400, Execution.NOT_RUN, false),
    /** No organisation key came with the request, or it is not valid (any more). */
    KEY_REJECTED(401, Execution.NOT_RUN, false),
    /** No route matches the path. */
    ROUTE_UNKNOWN(404, Execution.NOT_RUN, false),
    /** No request with this HTTP method is routed. */
    METHOD_UNSUPPORTED(405, Execution.NOT_RUN, false),
    /** The route divides by key and the request carries none. */
    REQUEST_KEY_MISSING(400, Execution.NOT_RUN, false),
    /** The request body exceeds the limit. */
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN, false),
    /** The request line or the headers exceed the limit. */
    HEADERS_TOO_LARGE(431, Execution.NOT_RUN, false),
    /** The request was not sent completely in time. */
    REQUEST_TIMEOUT(408, Execution.NOT_RUN, false),
    /** The organisation's rate and burst leave no token within the deadline. */
    RATE_EXCEEDED(429, Execution.NOT_RUN, false),
    /** The budget keeper can't be reached within the deadline. */
    BUDGET_UNAVAILABLE(503, Execution.NOT_RUN, false),
    /** The target's queue leaves no room before the deadline. */
    OVERLOADED(503, Execution.NOT_RUN, true),
    /** The target's queue is full by entries or bytes. */
    QUEUE_FULL(503, Execution.NOT_RUN, true),
    /** The daemon has too many open connections of callers. */
    DAEMON_CONNECTIONS_LIMIT(503, Execution.NOT_RUN, false),
    /** The daemon has too many requests of callers in progress. */
    DAEMON_REQUESTS_LIMIT(503, Execution.NOT_RUN, false),
    /** The daemon holds too many bytes of requests in progress. */
    DAEMON_BYTES_LIMIT(503, Execution.NOT_RUN, false),
    /** The deadline passed before the request was sent to a target. */
    DEADLINE_BEFORE_SEND(504, Execution.NOT_RUN, false),
    /** The deadline passed after the request was sent to a target. */
    DEADLINE_AFTER_SEND(504, Execution.UNKNOWN, false),
    /** The key has no owner at present, or its owner is being moved. */
    OWNER_UNAVAILABLE(503, Execution.NOT_RUN, true),
    /** The supervisor of the target can't be reached and nothing was sent to it. */
    OWNER_UNREACHABLE(503, Execution.NOT_RUN, true),
    /** The daemon that received the request is not (any more) the supervisor of the target. */
    NOT_SUPERVISOR(503, Execution.NOT_RUN, true),
    /** The supervisor's lease or the target's grant is not valid. */
    LEASE_EXPIRED(503, Execution.NOT_RUN, true),
    /** The target refused a fencing token or a slice that it does not hold. */
    FENCED(503, Execution.NOT_RUN, true),
    /** No target of the pool is in service. */
    POOL_UNAVAILABLE(503, Execution.NOT_RUN, true),
    /** The connection to the target could not be opened. */
    TARGET_UNREACHABLE(503, Execution.NOT_RUN, true),
    /** The target shed the request and says that it did not run it. */
    TARGET_SHED(503, Execution.NOT_RUN, true),
    /** The connection to the target was lost after the request was sent. */
    TARGET_LOST(502, Execution.UNKNOWN, true),
    /** The target reported a failure of its own and no other target gave an answer. */
    TARGET_ERROR(502, Execution.UNKNOWN, true),
    /** The target's answer was cut short. */
    ANSWER_INCOMPLETE(502, Execution.UNKNOWN, true),
    /** The target's answer exceeds the limit. */
    ANSWER_TOO_LARGE(502, Execution.RAN, false),
    /** The connection to the supervisor was lost after the request was forwarded. */
    SUPERVISOR_LOST(502, Execution.UNKNOWN, true),
    /** A request with the same id was received before. */
    DUPLICATE_REQUEST(409, Execution.NOT_RUN, false),
    /** The caller went away before the request was sent. */
    CANCELLED(499, Execution.NOT_RUN, false),
    /** The daemon can't tell whether its configuration is current. */
    CONFIGURATION_STALE(503, Execution.NOT_RUN, false),
    /** The daemon has not yet learned configuration and assignments. */
    NOT_READY(503, Execution.NOT_RUN, false),
    /** A fault of the daemon itself. */
    INTERNAL(500, Execution.UNKNOWN, false);

    private final int status;
    private final Execution execution;
    private final boolean retryable;

    ErrorKind(int status, Execution execution, boolean retryable) {
        this.status = status;
        this.execution = execution;
        this.retryable = retryable;
    }

    /**
     * Gives the status of the HTTP answer.
     *
     * @return an HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Tells whether a request that ended with this kind was run.
     *
     * @return the execution state that the caller is told
     */
    public Execution execution() {
        return execution;
    }

    /**
     * Tells whether another attempt may succeed; the retry policy decides whether it is allowed.
     *
     * @return true if another attempt may succeed
     */
    public boolean isRetryable() {
        return retryable;
    }

    /**
     * Gives the form used in headers, answers and metric names.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
