package org.snipewind.router.path;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A completely received request of a caller.
 *
 * @param method HTTP method
 * @param uri request target as received
 * @param headers headers as received
 * @param body complete body, whose memory is released when the request has ended
 */
record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, RequestBody body) {

    /** Returns the request target without its query. */
    String path() {
        int queryStart = uri.indexOf('?');
        return queryStart < 0 ? uri : uri.substring(0, queryStart);
    }
}
