package org.snipewind.protocol;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.error.Refusal;

/**
 * The outcome of a forwarded request: either a complete response of the target or a refusal.
 *
 * @param requestId id of the request
 * @param refusal the refusal, empty if the target responded
 * @param status HTTP status, 0 with a refusal
 * @param headers end-to-end headers, empty with a refusal
 * @param body the complete body, empty with a refusal
 */
@SuppressWarnings("ArrayRecordComponent")
public record ForwardAnswer(
        String requestId, Optional<Refusal> refusal, int status, Map<String, List<String>> headers, byte[] body)
        implements PeerMessage {}
