package org.snipewind.router.port;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** The headers with which callers, router and targets speak. */
public interface HeaderCodec {

    /**
     * Reads the headers of a caller's request.
     *
     * @param headers headers as received
     * @return what they say
     */
    RequestHeaders readRequest(HttpHeaders headers);

    /**
     * Turns the headers of a caller's request into those for a target: removes the key and whatever only the router may
     * set, and sets the router's values.
     *
     * @param headers copy of the caller's headers, changed in place
     * @param targetId id of the target that is meant
     * @param organisation organisation for which the request runs
     * @param remainingMillis time that is left
     */
    void rewriteForTarget(HttpHeaders headers, String targetId, Optional<String> organisation, long remainingMillis);

    /**
     * Reads the headers of a target's answer.
     *
     * @param status status of the answer
     * @param headers headers as received
     * @return what they say
     */
    ResponseHeaders readResponse(int status, HttpHeaders headers);

    /**
     * Removes what only the router is to know from the headers of an answer.
     *
     * @param headers headers of the answer, changed in place
     */
    void rewriteForCaller(HttpHeaders headers);

    /**
     * Marks a refusal with the id of the request that it answers.
     *
     * @param headers headers of the refusal, changed in place
     * @param requestId id of the request
     */
    void addRequestId(HttpHeaders headers, String requestId);
}
