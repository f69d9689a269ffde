package org.snipewind.clients.target;

import java.util.List;
import java.util.Map;

/**
 * A complete response of a target.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record TargetResponse(int status, Map<String, List<String>> headers, byte[] body) {}
