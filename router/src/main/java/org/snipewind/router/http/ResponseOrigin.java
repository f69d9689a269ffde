package org.snipewind.router.http;

/** The request to which a response belongs, as far as the response itself tells. */
public enum ResponseOrigin {
    /** The request in progress. */
    THIS_REQUEST,
    /** Another request. The response is skipped. */
    OTHER_REQUEST,
    /** The response names several requests, so it was put together from several responses. */
    SEVERAL_REQUESTS,
    /** The response names no request, so only that it is the first one on its connection can show where it belongs. */
    UNKNOWN
}
