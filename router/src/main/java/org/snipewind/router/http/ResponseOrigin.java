package org.snipewind.router.http;

/** The request to which a response belongs, as far as the response itself tells. */
public enum ResponseOrigin {
    /** The request in progress. */
    THIS_REQUEST,
    /** Another request. The response is skipped. */
    OTHER_REQUEST,
    /**
     * The response names no request. It belongs to the request in progress only if that is the first one on the
     * connection, and the connection is not used again, since a later response could be a second copy of this one.
     */
    UNKNOWN
}
