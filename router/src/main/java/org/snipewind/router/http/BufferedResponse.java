package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A completely received response.
 *
 * @param status status code
 * @param reason reason phrase
 * @param headers headers as received
 * @param body complete body
 * @param memory memory of the body, to be released when the response has been written or is dropped
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(
        int status, String reason, HttpHeaders headers, byte[] body, BufferMemory.Reservation memory) {}
