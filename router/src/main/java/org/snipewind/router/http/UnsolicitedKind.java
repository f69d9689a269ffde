package org.snipewind.router.http;

import java.util.Locale;

/** Where bytes were found on a connection that belong to none of its requests, or can't be told from such bytes. */
public enum UnsolicitedKind {
    /** Bytes on a connection without a request in progress. */
    IDLE_CONNECTION,
    /** Bytes behind a complete response that arrived together with it. */
    BEHIND_RESPONSE,
    /** The beginning of a response without the rest of its head, on an idle connection or behind a response. */
    BROKEN_OFF_RESPONSE,
    /** A response that names another request than the one in progress. */
    OTHER_RESPONSE,
    /** A response that contains the beginning of another one. */
    MERGED_RESPONSES,
    /** Bytes that are not a valid response. */
    INVALID_RESPONSE;

    /**
     * Returns whether such bytes would have hidden the response to a request in progress, if they had come later.
     *
     * @return true for responses that the server broke off
     */
    public boolean hidesNextResponse() {
        return this == BROKEN_OFF_RESPONSE || this == MERGED_RESPONSES;
    }

    /**
     * Returns the name as logged and counted.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
