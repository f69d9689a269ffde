package org.snipewind.router.port;

import java.util.Optional;
import java.util.OptionalLong;
import org.snipewind.coordination.target.LoadReport;

/**
 * The contents of the headers of a target's response.
 *
 * @param requestId id of the request that the response belongs to
 * @param namesSeveralRequests whether it has several request ids or signatures, as no response of one target has
 * @param signed whether the response carries the target's signature
 * @param notExecuted whether the target states that it did not run the request
 * @param misdirected whether the address belongs to another target, or the target does not hold the key
 * @param load load of the target
 * @param coldStartRemainingMillis remaining time of the target's cold start
 * @param leaving whether the target states that it is leaving
 * @param pauseMillis time for which the target wants no further requests
 * @param pauseUnreadable whether the target names such a time in a form that can't be read
 */
public record ResponseHeaders(
        Optional<String> requestId,
        boolean namesSeveralRequests,
        boolean signed,
        boolean notExecuted,
        boolean misdirected,
        Optional<LoadReport> load,
        OptionalLong coldStartRemainingMillis,
        boolean leaving,
        OptionalLong pauseMillis,
        boolean pauseUnreadable) {}
