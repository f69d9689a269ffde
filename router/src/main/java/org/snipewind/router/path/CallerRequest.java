package org.snipewind.router.path;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method method
 * @param uri request target as sent
 * @param headers headers as received
 * @param body whole body
 */
@SuppressWarnings("ArrayRecordComponent")
record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
