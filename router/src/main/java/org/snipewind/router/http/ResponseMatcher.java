package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Decides whether a response belongs to the request in progress. */
@FunctionalInterface
public interface ResponseMatcher {

    /** Accepts every response. */
    ResponseMatcher ANY = (status, headers) -> true;

    /**
     * Returns whether a response belongs to the request in progress.
     *
     * @param status status code
     * @param headers headers of the response
     * @return false for a response to another request, which is then skipped
     */
    boolean matches(int status, HttpHeaders headers);
}
