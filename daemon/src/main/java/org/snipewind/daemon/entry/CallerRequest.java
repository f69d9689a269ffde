package org.snipewind.daemon.entry;

import java.util.List;
import java.util.Map;

/**
 * A request as received from a caller.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param path decoded path
 * @param headers end-to-end headers, including the organisation's key
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(String method, String uri, String path, Map<String, List<String>> headers, byte[] body) {}
