package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Decides whether an answer belongs to the request in progress. */
@FunctionalInterface
public interface ResponseMatcher {

    /** Accepts each answer. */
    ResponseMatcher ANY = (status, headers) -> true;

    /**
     * Decides about an answer.
     *
     * @param status status code
     * @param headers headers of the answer
     * @return false for an answer to another request, which is then skipped
     */
    boolean matches(int status, HttpHeaders headers);
}
