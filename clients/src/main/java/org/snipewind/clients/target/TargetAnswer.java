package org.snipewind.clients.target;

import java.util.List;
import java.util.Map;

/**
 * A whole answer of a target.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record TargetAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
