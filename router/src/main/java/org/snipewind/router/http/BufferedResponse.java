package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer.
 *
 * @param status status code
 * @param reason reason phrase
 * @param headers headers as received
 * @param body whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(int status, String reason, HttpHeaders headers, byte[] body) {}
