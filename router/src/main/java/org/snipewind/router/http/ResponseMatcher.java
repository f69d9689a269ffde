package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Decides to which request a response belongs. */
@FunctionalInterface
public interface ResponseMatcher {

    /** Accepts every response. */
    ResponseMatcher ANY = (status, headers) -> ResponseOrigin.THIS_REQUEST;

    /**
     * Returns to which request a response belongs.
     *
     * @param status status code
     * @param headers headers of the response
     * @return the origin; a response that is not tied to the request in progress is skipped
     */
    ResponseOrigin originOf(int status, HttpHeaders headers);
}
