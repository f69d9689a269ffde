package org.snipewind.router.port;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Reads and writes the headers that callers, the router and targets exchange. */
public interface HeaderCodec {

    /**
     * Reads the headers of a caller's request.
     *
     * @param headers headers as received
     * @return their contents
     */
    RequestHeaders readRequest(HttpHeaders headers);

    /**
     * Rewrites the headers of a caller's request for a target: removes the access key and all headers that only the
     * router may set, and sets the router's own values.
     *
     * @param headers copy of the caller's headers, modified in place
     * @param targetId id of the intended target
     * @param organisation name of the organisation that the request belongs to
     * @param remainingMillis time until the deadline of the request
     */
    void rewriteForTarget(HttpHeaders headers, String targetId, Optional<String> organisation, long remainingMillis);

    /**
     * Reads the headers of a target's response.
     *
     * @param status status code of the response
     * @param headers headers as received
     * @return their contents
     */
    ResponseHeaders readResponse(int status, HttpHeaders headers);

    /**
     * Removes the headers of a target's response that are meant for the router only.
     *
     * @param headers headers of the response, modified in place
     */
    void rewriteForCaller(HttpHeaders headers);

    /**
     * Adds the id of the refused request to a refusal.
     *
     * @param headers headers of the refusal, modified in place
     * @param requestId id of the request
     */
    void addRequestId(HttpHeaders headers, String requestId);
}
