package org.snipewind.daemon.entry;

import java.util.List;
import java.util.Map;

/**
 * A request as a caller sent it.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param path decoded path
 * @param headers end-to-end headers, still with the organisation's key
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(String method, String uri, String path, Map<String, List<String>> headers, byte[] body) {}
