package org.snipewind.protocol;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * A request forwarded by the daemon that received it to the supervisor of the target.
 *
 * @param requestId unique id of the request
 * @param organisation name of the organisation, empty on routes open to all
 * @param keyDigest digest of the organisation's API key, which the supervisor checks again before it sends the request;
 *     empty on routes open to all
 * @param route name of the route
 * @param pool name of the pool
 * @param target name of the target
 * @param slice slice of the request's key, empty for an undivided pool
 * @param tableVersion version of the slice table by which the target was selected, 0 for an undivided pool
 * @param remainingMillis milliseconds until the deadline
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers without the organisation's API key
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ForwardRequest(
        String requestId,
        String organisation,
        String keyDigest,
        String route,
        String pool,
        String target,
        OptionalInt slice,
        long tableVersion,
        long remainingMillis,
        String method,
        String uri,
        Map<String, List<String>> headers,
        byte[] body)
        implements PeerMessage {}
