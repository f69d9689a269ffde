package org.snipewind.coordination.error;

import java.util.Locale;

/** All kinds of errors, each with its HTTP status, whether the request ran, and whether a retry may succeed. */
public enum ErrorKind {
    /** The request line, a header or the body is malformed. */
    MALFORMED_REQUEST(400, Execution.NOT_RUN, false),
    /** The request carries no organisation key, or an invalid or revoked one. */
    KEY_REJECTED(401, Execution.NOT_RUN, false),
    /** No route matches the path. */
    ROUTE_UNKNOWN(404, Execution.NOT_RUN, false),
    /** Requests with this HTTP method are not routed. */
    METHOD_UNSUPPORTED(405, Execution.NOT_RUN, false),
    /** The pool of the route is divided by key, and the request carries no key. */
    REQUEST_KEY_MISSING(400, Execution.NOT_RUN, false),
    /** The request body exceeds the size limit. */
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN, false),
    /** The request line or the headers exceed the size limit. */
    HEADERS_TOO_LARGE(431, Execution.NOT_RUN, false),
    /** The request was not received completely in time. */
    REQUEST_TIMEOUT(408, Execution.NOT_RUN, false),
    /** The organisation has exceeded its rate, and no token becomes available before the deadline. */
    RATE_EXCEEDED(429, Execution.NOT_RUN, false),
    /** The token issuer can't be reached before the deadline. */
    BUDGET_UNAVAILABLE(503, Execution.NOT_RUN, false),
    /** The expected wait in the target's queue exceeds the deadline. */
    OVERLOADED(503, Execution.NOT_RUN, true),
    /** The target's queue has reached its limit of entries or bytes. */
    QUEUE_FULL(503, Execution.NOT_RUN, true),
    /** The daemon has reached its limit of connections from callers. */
    DAEMON_CONNECTIONS_LIMIT(503, Execution.NOT_RUN, false),
    /** The daemon has reached its limit of requests in progress. */
    DAEMON_REQUESTS_LIMIT(503, Execution.NOT_RUN, false),
    /** The daemon has reached its limit of bytes of requests in progress. */
    DAEMON_BYTES_LIMIT(503, Execution.NOT_RUN, false),
    /** The deadline passed before the request was sent to a target. */
    DEADLINE_BEFORE_SEND(504, Execution.NOT_RUN, false),
    /** The deadline passed after the request was sent to a target. */
    DEADLINE_AFTER_SEND(504, Execution.UNKNOWN, false),
    /** The key has no owner at present, or is being moved to another owner. */
    OWNER_UNAVAILABLE(503, Execution.NOT_RUN, true),
    /** The supervisor of the target can't be reached, and nothing was sent to it. */
    OWNER_UNREACHABLE(503, Execution.NOT_RUN, true),
    /** The daemon that received the forwarded request is not, or no longer, the supervisor of the target. */
    NOT_SUPERVISOR(503, Execution.NOT_RUN, true),
    /** The supervisor has no valid lease, or the target no valid grant. */
    LEASE_EXPIRED(503, Execution.NOT_RUN, true),
    /** The target rejected the fencing token, or does not hold the slice of the request. */
    FENCED(503, Execution.NOT_RUN, true),
    /** No target of the pool is in service. */
    POOL_UNAVAILABLE(503, Execution.NOT_RUN, true),
    /** The connection to the target could not be opened. */
    TARGET_UNREACHABLE(503, Execution.NOT_RUN, true),
    /** The target shed the request and reported that it did not run it. */
    TARGET_SHED(503, Execution.NOT_RUN, true),
    /** The target has asked for no requests until a later time. */
    TARGET_PAUSED(503, Execution.NOT_RUN, true),
    /** The connection to the target was lost after the request was sent. */
    TARGET_LOST(502, Execution.UNKNOWN, true),
    /** The target reported an internal error, and no other target returned a response. */
    TARGET_ERROR(502, Execution.UNKNOWN, true),
    /** The target's response was truncated. */
    ANSWER_INCOMPLETE(502, Execution.UNKNOWN, true),
    /** The target's response exceeds the size limit. */
    ANSWER_TOO_LARGE(502, Execution.RAN, false),
    /** The connection to the supervisor was lost after the request was forwarded. */
    SUPERVISOR_LOST(502, Execution.UNKNOWN, true),
    /** A request with the same id was received before. */
    DUPLICATE_REQUEST(409, Execution.NOT_RUN, false),
    /** The caller disconnected before the request was sent to a target. */
    CANCELLED(499, Execution.NOT_RUN, false),
    /** The daemon can't verify that its configuration is current. */
    CONFIGURATION_STALE(503, Execution.NOT_RUN, false),
    /** The daemon has not yet loaded the configuration and the assignments. */
    NOT_READY(503, Execution.NOT_RUN, false),
    /** The daemon is shutting down and may end before the request would. */
    SHUTTING_DOWN(503, Execution.NOT_RUN, false),
    /** An internal error of the daemon. */
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
     * Returns the status of the HTTP response.
     *
     * @return an HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether a target ran a request that ended with this kind.
     *
     * @return the execution state that is reported to the caller
     */
    public Execution execution() {
        return execution;
    }

    /**
     * Returns whether another attempt may succeed; the retry policy decides whether it is allowed.
     *
     * @return true if another attempt may succeed
     */
    public boolean isRetryable() {
        return retryable;
    }

    /**
     * Returns the form used in headers, responses and metric names.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
