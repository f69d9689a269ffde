package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Function;
import java.util.function.IntPredicate;

/**
 * Which responses of a server are accepted for a request. A response of unknown origin may be a second copy of the
 * response to an earlier request on its connection.
 *
 * @param originOf returns from the headers of a response to which request it belongs
 * @param tied whether the response must be tied to the request; one of unknown origin is then accepted only on the
 *     first exchange of a connection, which is closed after it
 * @param isRejection whether a response with a status shows that the request had no effect; after one of unknown origin
 *     the connection is closed, so that no copy of it can be taken for the rejection of the next request
 * @param maxBytes longest body of a response; a longer one fails the request
 */
public record ResponseRules(
        Function<HttpHeaders, ResponseOrigin> originOf, boolean tied, IntPredicate isRejection, int maxBytes) {

    /** The watch of a store may return many changes at once, and there are few such requests at a time. */
    private static final int MAX_STORE_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** Rules for a server that responds to each request once, in their order on the connection. */
    public static final ResponseRules EACH_RESPONSE_ONCE =
            new ResponseRules(headers -> ResponseOrigin.THIS_REQUEST, true, status -> false, MAX_STORE_RESPONSE_BYTES);
}
