package org.snipewind.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;

/**
 * A response to another request that is received in front of the expected one. If the server broke it off, it takes in
 * the beginning of the expected response; so it is skipped only if its end is known and it contains no other response.
 */
final class SkippedResponse {

    private String endOfBody = "";

    /**
     * Returns whether the end of a response is known from its head.
     *
     * @param response the head of the response
     * @param hasBody whether a response with this head has a body
     */
    static boolean isSkippable(HttpResponse response, boolean hasBody) {
        return !hasBody || HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    }

    /**
     * Adds a part of the body.
     *
     * @param part bytes of the body
     * @return false if the body contains the beginning of another response
     */
    boolean add(ByteBuf part) {
        String received = endOfBody + part.toString(StandardCharsets.ISO_8859_1);
        endOfBody = received.substring(Math.max(0, received.length() - MergedResponses.STATUS_LINE_LENGTH));
        return !MergedResponses.containsStatusLine(received);
    }
}
