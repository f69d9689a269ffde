package org.snipewind.clients.target;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * A caller's request, as it is sent to a target.
 *
 * @param requestId unique id, with which the request can be cancelled
 * @param organisation name of the organisation; empty if the route is open to all
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers without the organisation's key
 * @param body the complete body
 * @param slice slice of the request's key; empty for an undivided pool
 * @param token fencing token of the supervisor
 * @param remainingMillis milliseconds until the deadline
 */
@SuppressWarnings("ArrayRecordComponent")
public record TargetRequest(
        String requestId,
        String organisation,
        String method,
        String uri,
        Map<String, List<String>> headers,
        byte[] body,
        OptionalInt slice,
        long token,
        long remainingMillis) {}
