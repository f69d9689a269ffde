package org.snipewind.coordination.routing;

/** What may be done with the requests of a route. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request may run more than once, and its response may be large. */
    LARGE_RESPONSE,
    /** A request may run once at most. */
    NON_IDEMPOTENT,
    /** A request may run once at most, and its body may be large. */
    LARGE_REQUEST
}
