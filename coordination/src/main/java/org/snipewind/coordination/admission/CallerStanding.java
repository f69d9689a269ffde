package org.snipewind.coordination.admission;

/** Standing of a request among those of the same urgency, the one that goes first at the top. */
public enum CallerStanding {
    /** The caller was refused before, and the response can still meet the latency objective. */
    RETURNING,
    /** The caller was not refused before. */
    NEW,
    /**
     * The caller was refused before, and the response will be late. If it went ahead of new requests, these would be
     * late next, and a pool that lacks room for some seconds would serve hardly any request in time.
     */
    LATE
}
