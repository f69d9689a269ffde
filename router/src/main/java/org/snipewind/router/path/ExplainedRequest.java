package org.snipewind.router.path;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.OptionalInt;

/**
 * A request that an operator asks about.
 *
 * @param method HTTP method
 * @param path request target
 * @param headers headers with the host
 * @param key key that determines the owner; if empty, the one in the headers counts
 */
public record ExplainedRequest(HttpMethod method, String path, HttpHeaders headers, OptionalInt key) {}
